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

/// The header that carries the number of an attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// How long an engine may take to confirm a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an engine may take to start resending a stream from a given part on.
const RESUME_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an attempt has no response.
#[derive(Debug, Error)]
pub enum BackendError {
    /// The backend server has no capacity and did not start the request.
    #[error("backend server is too busy")]
    Busy,
    /// The request provably did not reach the backend server.
    #[error("backend server was not reached: {0}")]
    NotReached(String),
    /// The backend server is up but no longer has a request that was sent to it.
    #[error("backend server has lost the request")]
    RequestGone,
    /// The backend server may have started the request.
    #[error("response of the backend server was lost: {0}")]
    ResponseLost(String),
}

impl BackendError {
    /// Returns whether this error, from a server that had received the request, indicates that the
    /// server has crashed.
    pub fn indicates_server_crash(&self) -> bool {
        matches!(self, BackendError::NotReached(_) | BackendError::RequestGone)
    }

    /// Returns how the attempt failed, as far as is known.
    pub fn failure(&self) -> AttemptFailure {
        match self {
            BackendError::Busy => AttemptFailure::Busy,
            BackendError::NotReached(_) => AttemptFailure::NotReached,
            BackendError::RequestGone | BackendError::ResponseLost(_) => {
                AttemptFailure::ResponseLost
            }
        }
    }
}

/// Sends an attempt and returns the response as soon as its head has arrived.
///
/// # Errors
///
/// Fails when there is no response; the error says whether the request may have been started.
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
        Ok(Err(error)) => return Err(BackendError::ResponseLost(error.to_string())),
        Err(_) => return Err(BackendError::ResponseLost("timeout".to_owned())),
    };
    if is_not_run_response(&response) {
        return Err(BackendError::Busy);
    }
    // The HTTP library skips all other interim responses, but returns a switch of protocols.
    if response.status().is_server_error() || response.status().is_informational() {
        return Err(BackendError::ResponseLost(format!("status {}", response.status())));
    }
    Ok(response)
}

/// Requests the response of a request that an engine has started, from the stream part
/// `from_index` on.
///
/// # Errors
///
/// Fails when the engine cannot be reached or no longer has the request.
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
    let max_timeout = if request.is_stream { RESUME_TIMEOUT } else { Duration::MAX };
    let timeout = max_timeout.min(request.time_left());
    let mut builder = context.backends.request(Method::GET, url.as_str());
    *builder.headers_mut() = build_headers(context, request, attempt, timeout);
    let sending = builder.body(Body::empty()).send::<Body>();
    match tokio::time::timeout(timeout, sending).await {
        Ok(Ok(response)) if response.status() == StatusCode::OK => Ok(response),
        Ok(Ok(response)) if response.status() == StatusCode::NOT_FOUND => {
            Err(BackendError::RequestGone)
        }
        Ok(Ok(response)) => {
            Err(BackendError::ResponseLost(format!("status {}", response.status())))
        }
        Ok(Err(error)) => Err(BackendError::NotReached(error.to_string())),
        Err(_) => Err(BackendError::ResponseLost("timeout".to_owned())),
    }
}

/// Cancels a request at its engine and returns the response body, which holds the token usage.
///
/// # Errors
///
/// Fails when the engine does not respond.
pub async fn cancel_at_backend(
    context: &RouterContext,
    server: &ServerView,
    key: &str,
    attempt: AttemptNumber,
) -> Result<bytes::Bytes, HttpRequestError> {
    let mut headers = request_headers(context, key);
    insert(&mut headers, ATTEMPT_HEADER, &attempt.to_string());
    let http_request = HttpRequest {
        method: Method::POST,
        url: format!("http://{}/control/requests/cancel", server.address),
        headers,
        body: bytes::Bytes::new(),
        timeout: CANCEL_TIMEOUT,
    };
    Ok(send_http_request(&context.backends, http_request).await?.body)
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

fn is_not_run_response(response: &Response<Body>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(OUTCOME_HEADER)
            .is_some_and(|value| value.as_bytes() == Outcome::NotRun.as_str().as_bytes())
}
