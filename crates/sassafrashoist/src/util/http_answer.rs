//! Answers to callers and operators.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use volo_http::body::Body;

use crate::core::refusal::Refusal;
use sassafrashoist_core::result_code::{Outcome, ResultCode};

/// The header with the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header with the numbered result.
pub const RESULT_CODE_HEADER: &str = "x-result-code";
/// The header that says whether a request that failed ran.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// The content type of JSON.
pub const JSON_TYPE: &str = "application/json";

/// The body of an answer that is no success.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    code: u16,
    name: &'a str,
    message: &'a str,
    outcome: Outcome,
}

/// Builds an answer with a body of known length.
pub fn build_answer(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::from(body.into()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set_header(&mut response, CONTENT_TYPE.as_str(), content_type);
    response
}

/// Builds an answer from a value as JSON.
pub fn build_json<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => build_answer(status, JSON_TYPE, body),
        Err(error) => build_answer(500, "text/plain", error.to_string()),
    }
}

/// Builds the answer of a refusal.
pub fn build_refusal(request_id: &str, refusal: &Refusal) -> Response<Body> {
    let body = RefusalBody {
        code: refusal.code.number(),
        name: refusal.code.name(),
        message: &refusal.message,
        outcome: refusal.outcome,
    };
    let mut response = build_json(refusal.code.http_status(), &body);
    set_result(&mut response, request_id, refusal.code);
    set_header(&mut response, OUTCOME_HEADER, refusal.outcome.as_str());
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
        set_header(&mut response, RETRY_AFTER.as_str(), &seconds.to_string());
    }
    response
}

/// Sets the headers that every answer carries.
pub fn set_result(response: &mut Response<Body>, request_id: &str, code: ResultCode) {
    set_header(response, REQUEST_ID_HEADER, request_id);
    set_header(response, RESULT_CODE_HEADER, &code.number().to_string());
}

/// Sets a header; a value that no header can carry is left out.
pub fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
