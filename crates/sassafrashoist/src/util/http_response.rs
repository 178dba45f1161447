//! Builders for HTTP responses to callers and operators.

use bytes::Bytes;
use futures::TryStreamExt;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode, Version};
use http_body_util::BodyStream;
use serde::Serialize;
use volo_http::body::Body;

use crate::core::refusal::Refusal;
use sassafrashoist_core::result_code::{Outcome, ResultCode};

/// The header with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header with the number of the result code.
pub const RESULT_CODE_HEADER: &str = "x-result-code";
/// The header that states whether a failed request was executed.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// The content type of JSON.
pub const JSON_TYPE: &str = "application/json";

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    code: u16,
    name: &'a str,
    message: &'a str,
    outcome: Outcome,
}

/// Builds a response with a body of known length.
pub fn build_response(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::from(body.into()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set_header(&mut response, CONTENT_TYPE.as_str(), content_type);
    response
}

/// Builds a response with a value as JSON.
pub fn build_json_response<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => build_response(status, JSON_TYPE, body),
        Err(error) => build_response(500, "text/plain", error.to_string()),
    }
}

/// Builds the response for a refusal.
pub fn build_refusal_response(request_id: &str, refusal: &Refusal) -> Response<Body> {
    let body = RefusalBody {
        code: refusal.code.number(),
        name: refusal.code.name(),
        message: &refusal.message,
        outcome: refusal.outcome,
    };
    let mut response = build_json_response(refusal.code.http_status(), &body);
    set_result_headers(&mut response, request_id, refusal.code);
    set_header(&mut response, OUTCOME_HEADER, refusal.outcome.as_str());
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
        set_header(&mut response, RETRY_AFTER.as_str(), &seconds.to_string());
    }
    response
}

/// Returns a body with the same bytes whose length is not sent in the head.
pub fn hide_length(body: Body) -> Body {
    let frames = BodyStream::new(body).map_err(Into::into);
    Body::from_stream(frames)
}

/// Makes a response whose body has no known length end with its connection, without chunks: its
/// caller then knows as little about its completeness as this VM.
pub fn delimit_by_close<B>(response: &mut Response<B>) {
    // The HTTP library adds chunks to a response of version 1.1, and none to one of version 1.0.
    *response.version_mut() = Version::HTTP_10;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Sets the request id and result code headers, which every response to a caller carries.
pub fn set_result_headers(response: &mut Response<Body>, request_id: &str, code: ResultCode) {
    set_header(response, REQUEST_ID_HEADER, request_id);
    set_header(response, RESULT_CODE_HEADER, &code.number().to_string());
}

/// Sets a header. Does nothing if the value is not a valid header value.
pub fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
