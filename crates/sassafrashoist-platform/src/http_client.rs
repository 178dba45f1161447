//! Small JSON calls over HTTP with a deadline.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use thiserror::Error;
use volo_http::body::Body;
use volo_http::client::Client;

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum HttpCallError {
    /// No connection was made, so the server has not seen the call.
    #[error("no connection to {0}")]
    NotSent(String),
    /// The server may have handled the call.
    #[error("answer of {0} was lost: {1}")]
    AnswerLost(String, String),
}

/// One call.
#[derive(Debug)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// The whole URL.
    pub url: String,
    /// Headers besides those of the client.
    pub headers: HeaderMap,
    /// The body; empty for none.
    pub body: Bytes,
    /// The longest that the call may take.
    pub timeout: Duration,
}

/// The status and body of an answer.
#[derive(Debug)]
pub struct HttpAnswer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// Sends a call and reads its whole answer.
///
/// # Errors
///
/// Fails when no answer came in time, and says whether the call may have been handled.
pub async fn send_call(client: &Client, call: HttpCall) -> Result<HttpAnswer, HttpCallError> {
    let url = call.url.clone();
    let timeout = call.timeout;
    match tokio::time::timeout(timeout, exchange(client, call)).await {
        Ok(result) => result,
        Err(_) => Err(HttpCallError::AnswerLost(url, "timeout".to_owned())),
    }
}

async fn exchange(client: &Client, call: HttpCall) -> Result<HttpAnswer, HttpCallError> {
    let url = call.url;
    let mut builder = client.request(call.method, url.as_str());
    builder.headers_mut().extend(call.headers);
    let response = builder.body(Body::from(call.body)).send::<Body>().await.map_err(|error| {
        if is_connect_error(&error) {
            HttpCallError::NotSent(url.clone())
        } else {
            HttpCallError::AnswerLost(url.clone(), error.to_string())
        }
    })?;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| HttpCallError::AnswerLost(url, error.to_string()))?
        .to_bytes();
    Ok(HttpAnswer { status, body })
}

/// Returns whether a client error means that no connection was made.
pub fn is_connect_error(error: &volo_http::error::client::ClientError) -> bool {
    let mut source: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(current) = source {
        if let Some(io) = current.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = current.source();
    }
    false
}
