//! Sends one attempt to a backend server.

use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use thiserror::Error;
use volo_http::body::Body;

use crate::core::caller_request::CallerRequest;
use crate::core::router_context::RouterContext;
use crate::util::http_response::{JSON_TYPE, OUTCOME_HEADER, REQUEST_ID_HEADER};
use sassafrashoist_core::ids::AttemptNumber;
use sassafrashoist_core::requests::recovery::AttemptFailure;
use sassafrashoist_core::result_code::Outcome;
use sassafrashoist_core::routing::server_view::ServerView;
use sassafrashoist_platform::http_client::{
    HttpRequest, HttpRequestError, is_connect_error, send_http_request,
};
use sassafrashoist_platform::wire::DATA_CENTRE_HEADER;

/// The header with the number of an attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// How long a cancellation may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an engine may take to say whether it still has a stream.
const RESUME_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an attempt has no answer.
#[derive(Debug, Error)]
pub enum BackendError {
    /// The backend server refused to begin the request for lack of room.
    #[error("backend server is too busy")]
    Busy,
    /// The backend server provably did not see the request.
    #[error("backend server was not reached: {0}")]
    NotReached(String),
    /// The backend server is up and does not know a request that it had.
    #[error("backend server has lost the request")]
    RequestGone,
    /// The backend server may have begun the request.
    #[error("answer of the backend server was lost: {0}")]
    AnswerLost(String),
}

impl BackendError {
    /// Returns whether a server that was asked for a request it had is gone or has lost it.
    pub fn says_server_crashed(&self) -> bool {
        matches!(self, BackendError::NotReached(_) | BackendError::RequestGone)
    }

    /// Returns what is known of the attempt.
    pub fn failure(&self) -> AttemptFailure {
        match self {
            BackendError::Busy => AttemptFailure::Busy,
            BackendError::NotReached(_) => AttemptFailure::NotReached,
            BackendError::RequestGone | BackendError::AnswerLost(_) => AttemptFailure::ResponseLost,
        }
    }
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
    let Some(timeout) = request.hop_timeout() else {
        return Err(BackendError::NotReached("no time is left".to_owned()));
    };
    let url = format!("http://{}{}", server.address, request.route.path);
    let mut builder = context.backends.request(Method::POST, url.as_str());
    *builder.headers_mut() = build_headers(context, request, attempt, timeout);
    let sending = builder.body(Body::from(request.body.clone())).send::<Body>();
    let response = match tokio::time::timeout(timeout, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if is_connect_error(&error) => {
            return Err(BackendError::NotReached(error.to_string()));
        }
        Ok(Err(error)) => return Err(BackendError::AnswerLost(error.to_string())),
        Err(_) => return Err(BackendError::AnswerLost("timeout".to_owned())),
    };
    if says_not_begun(&response) {
        return Err(BackendError::Busy);
    }
    if response.status().is_server_error() {
        return Err(BackendError::AnswerLost(format!("status {}", response.status())));
    }
    Ok(response)
}

/// Asks an engine for the answer of a request that it has begun, from one part on.
///
/// # Errors
///
/// Fails when the engine cannot be asked or does not have the request any more.
pub async fn resume_at_backend(
    context: &RouterContext,
    request: &CallerRequest,
    server: &ServerView,
    attempt: AttemptNumber,
    from_index: u64,
) -> Result<Response<Body>, BackendError> {
    let url = format!(
        "http://{}/control/requests/stream?from={from_index}&stream={}",
        server.address, request.is_stream
    );
    let bound = if request.is_stream { RESUME_TIMEOUT } else { Duration::MAX };
    let timeout = bound.min(request.time_left());
    let mut builder = context.backends.request(Method::GET, url.as_str());
    *builder.headers_mut() = build_headers(context, request, attempt, timeout);
    let sending = builder.body(Body::empty()).send::<Body>();
    match tokio::time::timeout(timeout, sending).await {
        Ok(Ok(response)) if response.status() == StatusCode::OK => Ok(response),
        Ok(Ok(response)) if response.status() == StatusCode::NOT_FOUND => {
            Err(BackendError::RequestGone)
        }
        Ok(Ok(response)) => Err(BackendError::AnswerLost(format!("status {}", response.status()))),
        Ok(Err(error)) => Err(BackendError::NotReached(error.to_string())),
        Err(_) => Err(BackendError::AnswerLost("timeout".to_owned())),
    }
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
    attempt: AttemptNumber,
) -> Result<bytes::Bytes, HttpRequestError> {
    let mut headers = request_headers(context, key);
    insert(&mut headers, ATTEMPT_HEADER, &attempt.to_string());
    let call = HttpRequest {
        method: Method::POST,
        url: format!("http://{}/control/requests/cancel", server.address),
        headers,
        body: bytes::Bytes::new(),
        timeout: CANCEL_TIMEOUT,
    };
    Ok(send_http_request(&context.backends, call).await?.body)
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
    timeout: Duration,
) -> HeaderMap {
    let mut headers = request_headers(context, &request.key);
    insert(&mut headers, ATTEMPT_HEADER, &attempt.to_string());
    insert(&mut headers, "x-priority", &request.priority.to_string());
    insert(&mut headers, "x-max-tokens", &request.max_output_tokens.to_string());
    insert(&mut headers, "x-timeout-ms", &timeout.as_millis().to_string());
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
