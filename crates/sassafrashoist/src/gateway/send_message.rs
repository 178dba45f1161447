//! Sends one message to another VM.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use super::http_connection::{Connection, NotConnected};

/// How long another VM may take to answer: a hundred times a hop between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a message to another VM has no answer.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The message could not be built.
    #[error("failed to build a message: {0}")]
    NotBuilt(String),
    /// The other VM was not reached, so that nothing was sent.
    #[error(transparent)]
    NotConnected(#[from] NotConnected),
    /// The other VM did not take the message in.
    #[error("VM at {address} answered with status {status}")]
    Refused {
        /// The other VM.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// No whole answer came; the message may have been taken in.
    #[error("VM at {address} did not answer: {reason}")]
    Unanswered {
        /// The other VM.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
}

impl MessageError {
    /// Returns whether the other VM may have taken the message in.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self, Self::Unanswered { .. })
    }
}

/// Sends one message to another VM and returns the body of its answer.
///
/// # Errors
///
/// Fails when there is no answer in time, or one that is no success.
pub async fn send_message<M: Serialize>(
    address: SocketAddr,
    path: &str,
    message: &M,
) -> Result<Bytes, MessageError> {
    let body = postcard::to_stdvec(message).map_err(|e| MessageError::NotBuilt(e.to_string()))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| MessageError::NotBuilt(error.to_string()))?;
    let unanswered = |reason: String| MessageError::Unanswered { address, reason };
    let mut connection = Connection::open(address, ANSWER_TIMEOUT).await?;
    let exchange = async {
        let response =
            connection.send(request).await.map_err(|error| unanswered(error.to_string()))?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(MessageError::Refused { address, status });
        }
        let body = response.into_body().collect().await;
        Ok(body.map_err(|error| unanswered(error.to_string()))?.to_bytes())
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(unanswered(format!("nothing in {ANSWER_TIMEOUT:?}"))))
}
