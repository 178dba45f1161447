//! Sends one attempt to a backend server.

use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use thiserror::Error;
use volo_http::body::Body;

use crate::core::caller_request::CallerRequest;
use crate::core::router_context::RouterContext;
use crate::util::http_answer::{JSON_TYPE, OUTCOME_HEADER, REQUEST_ID_HEADER};
use sassafrashoist_core::ids::AttemptNumber;
use sassafrashoist_core::result_code::Outcome;
use sassafrashoist_core::routing::server_view::ServerView;
use sassafrashoist_platform::http_client::{HttpCall, HttpCallError, is_connect_error, send_call};
use sassafrashoist_platform::wire::DATA_CENTRE_HEADER;

/// The header with the number of an attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// How long a cancellation may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an attempt has no answer.
#[derive(Debug, Error)]
pub enum BackendError {
    /// The backend server provably did not begin the request.
    #[error("backend server did not begin the request: {0}")]
    NotBegun(String),
    /// The backend server has no room and did not begin the request.
    #[error("backend server refused the request: {0}")]
    Refused(String),
    /// The backend server may have begun the request.
    #[error("answer of the backend server was lost: {0}")]
    AnswerLost(String),
}

/// Sends an attempt and returns the answer as soon as its head has come.
///
/// # Errors
///
/// Fails when there is no answer, and says whether the request may have begun.
pub async fn call_backend(
    context: &RouterContext,
    request: &CallerRequest,
    server: &ServerView,
    attempt: AttemptNumber,
) -> Result<Response<Body>, BackendError> {
    let url = format!("http://{}{}", server.address, request.route.path);
    let mut builder = context.backends.request(Method::POST, url.as_str());
    *builder.headers_mut() = build_headers(context, request, attempt);
    let sending = builder.body(Body::from(request.body.clone())).send::<Body>();
    let response = match tokio::time::timeout(request.timeout, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if is_connect_error(&error) => {
            return Err(BackendError::NotBegun(error.to_string()));
        }
        Ok(Err(error)) => return Err(BackendError::AnswerLost(error.to_string())),
        Err(_) => return Err(BackendError::AnswerLost("timeout".to_owned())),
    };
    if says_not_begun(&response) {
        return Err(BackendError::Refused(format!("status {}", response.status())));
    }
    Ok(response)
}

/// Asks an engine to stop a request, and returns the answer's body, which holds its usage.
///
/// # Errors
///
/// Fails when the engine does not answer.
pub async fn cancel_at_backend(
    context: &RouterContext,
    server: &ServerView,
    key: &str,
) -> Result<bytes::Bytes, HttpCallError> {
    let call = HttpCall {
        method: Method::POST,
        url: format!("http://{}/control/requests/cancel", server.address),
        headers: request_headers(context, key),
        body: bytes::Bytes::new(),
        timeout: CANCEL_TIMEOUT,
    };
    Ok(send_call(&context.backends, call).await?.body)
}

fn request_headers(context: &RouterContext, key: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(JSON_TYPE));
    insert(&mut headers, REQUEST_ID_HEADER, key);
    insert(&mut headers, DATA_CENTRE_HEADER, &context.settings.data_centre_id);
    headers
}

fn build_headers(
    context: &RouterContext,
    request: &CallerRequest,
    attempt: AttemptNumber,
) -> HeaderMap {
    let mut headers = request_headers(context, &request.key);
    insert(&mut headers, ATTEMPT_HEADER, &attempt.to_string());
    insert(&mut headers, "x-priority", &request.priority.to_string());
    insert(&mut headers, "x-max-tokens", &request.max_output_tokens.to_string());
    insert(&mut headers, "x-timeout-ms", &request.timeout.as_millis().to_string());
    insert(&mut headers, "idempotency-key", &request.key);
    headers
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn says_not_begun(response: &Response<Body>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(OUTCOME_HEADER)
            .is_some_and(|value| value.as_bytes() == Outcome::NotRun.as_str().as_bytes())
}
