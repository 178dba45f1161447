//! Sends one message to another VM.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use serde::Serialize;

use super::http_connection::{Connection, NotConnected};

/// How long another VM may take to respond: a hundred times the latency between data centres.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum size of a message between VMs and of its response: tokens of a few thousand accounts.
pub const MAX_MESSAGE_BYTES: usize = 65_536;

/// The reason why a message to another VM got no successful response.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The message could not be built.
    #[error("failed to build a message: {0}")]
    NotBuilt(String),
    /// The connection could not be opened, so nothing was sent.
    #[error(transparent)]
    NotConnected(#[from] NotConnected),
    /// The other VM rejected the message.
    #[error("VM at {address} responded with status {status}")]
    Refused {
        /// The other VM.
        address: SocketAddr,
        /// The status of the response.
        status: StatusCode,
    },
    /// No complete response came; the other VM may have applied the message.
    #[error("no response from VM at {address}: {reason}")]
    NoResponse {
        /// The other VM.
        address: SocketAddr,
        /// The error, or the timeout.
        reason: String,
    },
}

impl MessageError {
    /// Returns whether the other VM may have applied the message.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self, Self::NoResponse { .. })
    }
}

/// Sends one message to another VM and returns the body of its response.
///
/// # Errors
///
/// Fails when no response comes in time, or its status is not 200.
pub async fn send_message<M: Serialize>(
    address: SocketAddr,
    path: &str,
    message: &M,
) -> Result<Bytes, MessageError> {
    send_message_within(address, path, message, RESPONSE_TIMEOUT).await
}

/// Sends one message to another VM, which may respond within `timeout`, and returns the body of its
/// response.
///
/// # Errors
///
/// Fails when no response comes in time, or its status is not 200.
pub async fn send_message_within<M: Serialize>(
    address: SocketAddr,
    path: &str,
    message: &M,
    timeout: Duration,
) -> Result<Bytes, MessageError> {
    let body = postcard::to_stdvec(message).map_err(|e| MessageError::NotBuilt(e.to_string()))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| MessageError::NotBuilt(error.to_string()))?;
    let no_response = |reason: String| MessageError::NoResponse { address, reason };
    let mut connection = Connection::open(address, RESPONSE_TIMEOUT).await?;
    let exchange = async {
        let response =
            connection.send(request).await.map_err(|error| no_response(error.to_string()))?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(MessageError::Refused { address, status });
        }
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await;
        Ok(body.map_err(|error| no_response(error.to_string()))?.to_bytes())
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(no_response(format!("timed out after {timeout:?}"))))
}
