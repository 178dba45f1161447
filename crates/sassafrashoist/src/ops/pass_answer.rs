//! Passes a backend server's answer on to the caller and settles it.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use serde::Deserialize;
use volo_http::body::Body;

use crate::core::caller_request::CallerRequest;
use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use crate::ops::call_backend::ATTEMPT_HEADER;
use crate::ops::handle_request::{AnswerSender, answer_refusal};
use crate::ops::pass_stream::pass_stream;
use crate::ops::settle_request::settle_request;
use crate::util::http_answer::{REQUEST_ID_HEADER, build_answer, set_result};
use sassafrashoist_core::ids::{AttemptNumber, Tokens};
use sassafrashoist_core::owner::settle::SettleOutcome;
use sassafrashoist_core::requests::key_entry::KeptAnswer;
use sassafrashoist_core::requests::life_cycle::{Dispatched, Request};
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_core::routing::server_view::ServerView;

/// The content type of server-sent events.
pub const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// The tokens that an engine says a request used.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Usage {
    /// Prompt and answer together.
    pub total_tokens: Tokens,
}

#[derive(Debug, Deserialize)]
struct WholeAnswer {
    id: String,
    attempt: AttemptNumber,
    usage: Usage,
}

/// Passes an answer on and settles the request.
pub async fn pass_answer(
    context: &RouterContext,
    request: &CallerRequest,
    server: &ServerView,
    dispatched: Request<Dispatched>,
    response: Response<Body>,
    sender: AnswerSender,
) {
    let content_type = read_header(response.headers(), CONTENT_TYPE.as_str());
    if content_type.starts_with(EVENT_STREAM_TYPE) {
        return pass_stream(context, request, server, dispatched, response, sender).await;
    }
    let attempt = dispatched.attempt();
    let (head, body) = response.into_parts();
    let collected = tokio::time::timeout(request.timeout, body.collect()).await;
    let Ok(Ok(collected)) = collected else {
        let code = ResultCode::OutcomeUnknown;
        settle_request(context, request, attempt, SettleOutcome::Unknown, code).await;
        return answer_refusal(request, sender, &Refusal::of(code));
    };
    let body = collected.to_bytes();
    let Some(used_tokens) = read_cost(request, attempt, &head.headers, &body) else {
        let code = ResultCode::BackendRefused;
        settle_request(context, request, attempt, SettleOutcome::Unknown, code).await;
        return answer_refusal(request, sender, &Refusal::of(code));
    };
    let answer = request.is_keyed.then(|| KeptAnswer {
        http_status: head.status.as_u16(),
        content_type: content_type.clone(),
        body: body.to_vec(),
    });
    let outcome = SettleOutcome::Ran { used_tokens, answer };
    settle_request(context, request, attempt, outcome, ResultCode::Done).await;
    let mut answer = build_answer(head.status.as_u16(), &content_type, body);
    set_result(&mut answer, &request.key, ResultCode::Done);
    let _ = sender.send(answer);
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
    let answer: WholeAnswer = serde_json::from_slice(body).ok()?;
    let is_own = answer.id == request.key && answer.attempt == attempt;
    is_own.then_some(answer.usage.total_tokens)
}

fn read_header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
