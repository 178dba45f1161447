//! The answers of a model server, and what they take from a tenant's tokens.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::server::{Handler, response_head, write_chunk};

/// The output tokens in an event.
pub const TOKENS_PER_EVENT: u64 = 5;

/// The requests that began to run, with the tokens of their prompts.
#[derive(Debug, Clone, Default)]
pub struct Runs(Arc<Mutex<HashMap<String, u64>>>);

impl Runs {
    /// Returns the tokens of the prompts of all requests that began to run, each counted once.
    pub fn prompt_tokens(&self) -> u64 {
        self.lock().values().sum()
    }

    /// Returns the number of requests that began to run.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the handler of a model server: each request runs with its first event, `first` after it
/// arrived, and sends `event_count` events, or those after the one in `Last-Event-Id`.
pub fn engine(
    id: &str,
    runs: &Runs,
    first: Duration,
    interval: Duration,
    event_count: u64,
) -> Handler {
    let (id, runs) = (id.to_owned(), runs.clone());
    Arc::new(move |stream, request, _| {
        let request_id = request.header("request-id").unwrap_or("-").to_owned();
        let last_event = request.header("last-event-id").and_then(|event| event.parse().ok());
        let prompt = request.header("token-usage").and_then(|usage| usage.split_once(','));
        let prompt_tokens = prompt.and_then(|(tokens, _)| tokens.parse().ok()).unwrap_or(0);
        thread::sleep(first);
        let head = response_head(
            200,
            &request_id,
            &id,
            &[("Content-Type", "text/event-stream"), ("Upstream-Load", "1,0,64")],
            None,
        );
        stream.write_all(head.as_bytes())?;
        for event in last_event.unwrap_or(0_u64) + 1..=event_count {
            write_chunk(stream, format!("id: {event}\ndata: part {event}\n\n").as_bytes())?;
            runs.lock().insert(request_id.clone(), prompt_tokens);
            thread::sleep(interval);
        }
        stream.write_all(b"0\r\n\r\n")
    })
}

/// Returns the number of whole events in a body.
pub fn count_events(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
    whole.matches("\n\n").count() as u64
}
