//! Reads a backend server's answer, and checks that it is whole and the request's own.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use serde::Deserialize;
use volo_http::body::Body;

use crate::core::caller_request::CallerRequest;
use crate::core::response_sink::EVENT_STREAM_TYPE;
use crate::ops::call_backend::ATTEMPT_HEADER;
use crate::ops::pass_stream::pass_stream;
use crate::ops::run_attempts::RequestRun;
use crate::util::http_response::REQUEST_ID_HEADER;
use sassafrashoist_core::ids::{AttemptNumber, Tokens};
use sassafrashoist_core::requests::life_cycle::{Dispatched, Request};

/// The tokens that an engine says a request used.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Usage {
    /// Prompt and answer together.
    pub total_tokens: Tokens,
}

/// An answer that is whole and the request's own.
#[derive(Debug)]
pub struct WholeAnswer {
    /// What it cost.
    pub used_tokens: Tokens,
    /// Whether it is a stream, all of which but the last event was passed on.
    pub is_stream: bool,
    /// The HTTP status.
    pub http_status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: String,
    /// The body, or the last event of a stream.
    pub body: Bytes,
}

/// How an answer ended.
#[derive(Debug)]
pub enum PassEnd {
    /// It is whole.
    Whole(WholeAnswer),
    /// The caller does not read it any more, and nobody can ask for it again.
    CallerGone,
    /// It ended early or was not the request's own.
    Lost(String),
}

#[derive(Debug, Deserialize)]
struct ModelAnswer {
    id: String,
    attempt: AttemptNumber,
    usage: Usage,
}

/// Reads an answer; a stream is passed on part by part.
pub async fn pass_answer(
    run: &mut RequestRun,
    dispatched: &Request<Dispatched>,
    response: Response<Body>,
) -> PassEnd {
    let content_type = read_header(response.headers(), CONTENT_TYPE.as_str());
    if content_type.starts_with(EVENT_STREAM_TYPE) {
        return pass_stream(run, dispatched.attempt(), response.into_body()).await;
    }
    let (head, body) = response.into_parts();
    let collected = match tokio::time::timeout(run.request.time_left(), body.collect()).await {
        Ok(Ok(collected)) => collected,
        Ok(Err(error)) => return PassEnd::Lost(error.to_string()),
        Err(_) => return PassEnd::Lost("timeout".to_owned()),
    };
    let body = collected.to_bytes();
    let attempt = dispatched.attempt();
    let is_refused = run.request.is_model() && head.status.is_client_error();
    let cost =
        if is_refused { Some(0) } else { read_cost(&run.request, attempt, &head.headers, &body) };
    let Some(used_tokens) = cost else {
        metrics::counter!("sassafrashoist_crossed_parts_dropped_total").increment(1);
        return PassEnd::Lost("answer is not the request's own".to_owned());
    };
    PassEnd::Whole(WholeAnswer {
        used_tokens,
        is_stream: false,
        http_status: head.status.as_u16(),
        content_type,
        body,
    })
}

/// Returns the cost of a whole answer, or `None` when it is not this request's or has no cost.
fn read_cost(
    request: &CallerRequest,
    attempt: AttemptNumber,
    headers: &HeaderMap,
    body: &Bytes,
) -> Option<Tokens> {
    if let Some(price_tokens) = request.fixed_price_tokens() {
        let is_own = read_header(headers, REQUEST_ID_HEADER) == request.key
            && read_header(headers, ATTEMPT_HEADER) == attempt.to_string();
        return is_own.then_some(price_tokens);
    }
    let answer: ModelAnswer = serde_json::from_slice(body).ok()?;
    let is_own = answer.id == request.key && answer.attempt == attempt;
    is_own.then_some(answer.usage.total_tokens)
}

fn read_header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
