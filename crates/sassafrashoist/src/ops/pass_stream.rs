//! Passes an engine's stream on to the caller, part by part.
//!
//! Each part names its request, its attempt and its place, and is checked before it is passed on.
//! The last event is left to the caller of this function, which settles the cost first: a caller
//! that has the whole answer is always billed.

use bytes::Bytes;
use http_body_util::BodyExt;
use serde::Deserialize;
use serde_json::Value;
use volo_http::body::Body;

use crate::core::response_sink::{DONE_DATA, EVENT_STREAM_TYPE, PartOutcome};
use crate::ops::pass_answer::{PassEnd, Usage, WholeAnswer};
use crate::ops::run_attempts::RequestRun;
use sassafrashoist_core::event_splitter::{EventSplitter, StreamEvent};
use sassafrashoist_core::ids::AttemptNumber;
use sassafrashoist_core::invariants::Invariant;

/// The part of an event that the router reads.
#[derive(Debug, Deserialize)]
struct StreamPart {
    id: String,
    attempt: AttemptNumber,
    index: u64,
    choices: Value,
    usage: Option<Usage>,
}

struct StreamPass<'a> {
    run: &'a mut RequestRun,
    attempt: AttemptNumber,
    last: Option<UsagePart>,
}

/// The last part of a stream, which leaves together with the event that ends it.
struct UsagePart {
    index: u64,
    usage: Usage,
    raw: Bytes,
}

/// Passes on a stream up to its last event.
pub async fn pass_stream(run: &mut RequestRun, attempt: AttemptNumber, body: Body) -> PassEnd {
    run.sink.open_stream();
    StreamPass { run, attempt, last: None }.run(body).await
}

impl StreamPass<'_> {
    async fn run(&mut self, mut body: Body) -> PassEnd {
        let deadline = self.run.request.deadline;
        let mut splitter = EventSplitter::default();
        loop {
            let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return PassEnd::Lost(error.to_string()),
                Ok(None) => return PassEnd::Lost("stream ended early".to_owned()),
                Err(_) => return PassEnd::Lost("timeout".to_owned()),
            };
            if let Some(data) = frame.data_ref() {
                splitter.push(data);
            }
            while let Some(event) = splitter.next_event() {
                if let Some(end) = self.pass_event(event).await {
                    return end;
                }
            }
        }
    }

    /// Passes an event on; returns how the stream ended if this ends it.
    async fn pass_event(&mut self, event: StreamEvent) -> Option<PassEnd> {
        let data = event.data();
        if data.as_ref() == DONE_DATA {
            return Some(self.end_whole(event.raw));
        }
        let part = self.read_own_part(&data)?;
        if let Some(usage) = part.usage {
            self.last = Some(UsagePart { index: part.index, usage, raw: event.raw });
            return None;
        }
        let content = part.choices.to_string();
        let is_own = part.id == self.run.request.key;
        let invariants = &self.run.context.invariants;
        invariants.check(is_own, Invariant::CrossedAnswers, &self.run.request.key);
        match self.run.sink.forward_part(part.index, content.as_bytes(), event.raw).await {
            PartOutcome::Forwarded | PartOutcome::AlreadyForwarded => None,
            PartOutcome::CallerGone => Some(PassEnd::CallerGone),
            PartOutcome::Diverged => Some(PassEnd::Lost("runs give different answers".to_owned())),
        }
    }

    /// Reads a part; `None` when it belongs to another request or attempt.
    fn read_own_part(&self, data: &[u8]) -> Option<StreamPart> {
        let part: StreamPart = serde_json::from_slice(data).ok()?;
        if part.id != self.run.request.key || part.attempt != self.attempt {
            metrics::counter!("sassafrashoist_crossed_parts_dropped_total").increment(1);
            log::warn!(key = self.run.request.key, part = part.id; "crossed part dropped");
            return None;
        }
        Some(part)
    }

    fn end_whole(&mut self, done: Bytes) -> PassEnd {
        let Some(last) = self.last.take() else {
            return PassEnd::Lost("stream has no usage".to_owned());
        };
        if last.index != self.run.sink.next_index() {
            return PassEnd::Lost("parts are missing".to_owned());
        }
        PassEnd::Whole(WholeAnswer {
            used_tokens: last.usage.total_tokens,
            is_stream: true,
            http_status: 200,
            content_type: EVENT_STREAM_TYPE.to_owned(),
            body: [last.raw, done].concat().into(),
        })
    }
}
