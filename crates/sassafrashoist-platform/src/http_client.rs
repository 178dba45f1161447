//! Sends HTTP requests with a timeout and reads whole responses into memory.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use thiserror::Error;
use volo_http::body::Body;
use volo_http::client::Client;

use crate::response_framing::ResponseFraming;

/// The longest response body that is read into memory.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why a request has no response.
#[derive(Debug, Error)]
pub enum HttpRequestError {
    /// No connection was made, so the server has not seen the request.
    #[error("no connection to {0}")]
    NotSent(String),
    /// The server may have handled the request.
    #[error("response from {0} was lost: {1}")]
    ResponseLost(String, String),
}

/// A request and its timeout.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The whole URL.
    pub url: String,
    /// Headers in addition to those that the client sets.
    pub headers: HeaderMap,
    /// The body; empty if there is none.
    pub body: Bytes,
    /// The maximum time from sending the request to the end of the response.
    pub timeout: Duration,
}

/// The status and body of a response.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// How the end of the body was marked.
    pub framing: ResponseFraming,
    /// The body.
    pub body: Bytes,
}

/// Sends a request and reads the response to its end. Whether it is complete follows from its
/// `framing`, or from a content that cannot be parsed if its end is missing.
///
/// # Errors
///
/// Fails when the response does not end properly within the timeout. The error says whether the
/// server may have handled the request.
pub async fn send_http_request(
    client: &Client,
    request: HttpRequest,
) -> Result<HttpResponse, HttpRequestError> {
    let url = request.url.clone();
    let timeout = request.timeout;
    match tokio::time::timeout(timeout, send_and_read(client, request)).await {
        Ok(result) => result,
        Err(_) => Err(HttpRequestError::ResponseLost(url, "timeout".to_owned())),
    }
}

async fn send_and_read(
    client: &Client,
    request: HttpRequest,
) -> Result<HttpResponse, HttpRequestError> {
    let url = request.url;
    let mut builder = client.request(request.method, url.as_str());
    builder.headers_mut().extend(request.headers);
    let response =
        builder.body(Body::from(request.body)).send::<Body>().await.map_err(|error| {
            if is_connect_error(&error) {
                HttpRequestError::NotSent(url.clone())
            } else {
                HttpRequestError::ResponseLost(url.clone(), error.to_string())
            }
        })?;
    let status = response.status();
    // The HTTP library skips all other interim responses, but returns a switch of protocols.
    if status.is_informational() {
        return Err(HttpRequestError::ResponseLost(url, format!("status {status}")));
    }
    let framing = ResponseFraming::of(&response);
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|error| HttpRequestError::ResponseLost(url, error.to_string()))?
        .to_bytes();
    Ok(HttpResponse { status, framing, body })
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
