//! Reads a backend server's response, and checks that it is complete and belongs to the request.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use volo_http::body::Body;

use crate::core::caller_request::CallerRequest;
use crate::core::response_sink::EVENT_STREAM_TYPE;
use crate::ops::call_backend::ATTEMPT_HEADER;
use crate::ops::forward_stream::forward_stream;
use crate::ops::run_attempts::ActiveRequest;
use crate::util::http_response::REQUEST_ID_HEADER;
use sassafrashoist_core::ids::{AttemptNumber, Tokens};
use sassafrashoist_core::requests::life_cycle::{Dispatched, Request};
use sassafrashoist_platform::http_client::MAX_RESPONSE_BYTES;
use sassafrashoist_platform::response_framing::ResponseFraming;

/// The token usage that an engine reports for a request.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Usage {
    /// The prompt and output tokens together.
    pub total_tokens: Tokens,
}

/// A response that was received to its end and belongs to the request.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The tokens that it cost.
    pub used_tokens: Tokens,
    /// Whether it is a stream, of which all events up to the usage event were forwarded.
    pub is_stream: bool,
    /// The HTTP status.
    pub http_status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: String,
    /// Whether the body is known to be complete; a response without length or chunks is only so if
    /// its content shows it.
    pub is_known_complete: bool,
    /// The body; for a stream, the usage event and the event that ends it.
    pub body: Bytes,
}

/// How a response ended.
#[derive(Debug)]
pub enum ResponseEnd {
    /// It is complete.
    Complete(CompleteResponse),
    /// The caller has disconnected, and nobody can request the response again.
    CallerGone,
    /// It ended early or does not belong to the request.
    Lost(String),
}

#[derive(Debug, Deserialize)]
struct ModelResponse {
    id: String,
    attempt: AttemptNumber,
    usage: Usage,
}

/// Reads a response. A stream is forwarded to the caller part by part.
pub async fn receive_response(
    active: &mut ActiveRequest,
    dispatched: &Request<Dispatched>,
    response: Response<Body>,
) -> ResponseEnd {
    let content_type = read_header(response.headers(), CONTENT_TYPE.as_str());
    if content_type.starts_with(EVENT_STREAM_TYPE) {
        return forward_stream(active, dispatched.attempt(), response.into_body()).await;
    }
    let framing = ResponseFraming::of(&response);
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect();
    let collected = match tokio::time::timeout(active.request.time_left(), body).await {
        Ok(Ok(collected)) => collected,
        Ok(Err(error)) => return ResponseEnd::Lost(error.to_string()),
        Err(_) => return ResponseEnd::Lost("timeout".to_owned()),
    };
    let body = collected.to_bytes();
    let attempt = dispatched.attempt();
    let is_refused = active.request.is_model() && head.status.is_client_error();
    let cost = if is_refused {
        Some(0)
    } else {
        read_cost(&active.request, attempt, &head.headers, &body)
    };
    let Some(used_tokens) = cost else {
        metrics::counter!("sassafrashoist_crossed_parts_dropped_total").increment(1);
        return ResponseEnd::Lost("response does not belong to the request".to_owned());
    };
    // A model's response that was parsed is complete.
    let is_parsed = active.request.is_model() && !is_refused;
    ResponseEnd::Complete(CompleteResponse {
        used_tokens,
        is_stream: false,
        is_known_complete: framing.marks_end() || is_parsed,
        http_status: head.status.as_u16(),
        content_type,
        body,
    })
}

/// Returns the cost of a response, or `None` when the response belongs to another request or
/// attempt or does not state its cost.
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
    let response: ModelResponse = serde_json::from_slice(body).ok()?;
    let is_own = response.id == request.key && response.attempt == attempt;
    is_own.then_some(response.usage.total_tokens)
}

fn read_header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
