//! The body of a response to a caller.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Response, StatusCode, Version};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// The error that ends a response body before it is complete; the connection is then closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("response body ended before it was complete")]
pub struct IncompleteBody;

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, IncompleteBody>;

/// Appends chunks to a body that is streamed to the caller.
///
/// Dropping the sender without calling [`finish`](Self::finish) ends the body with an error, so
/// that a partial response never looks complete. The chunks before it are sent first.
#[derive(Debug)]
pub struct BodySender {
    sender: mpsc::Sender<Bytes>,
    is_finished: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends a chunk; returns false if the caller has disconnected.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.sender.send(chunk).await.is_ok()
    }

    /// Completes when the caller has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Marks the body as complete and ends it.
    pub fn finish(self) {
        self.is_finished.store(true, Ordering::Release);
    }
}

/// Returns a body whose bytes are all present.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns a body whose bytes are all present, but whose length is not sent in the head.
pub fn body_of_unknown_length(bytes: Bytes) -> ResponseBody {
    StreamBody::new(stream::once(async { Ok(Frame::data(bytes)) })).boxed_unsync()
}

/// Returns a streamed body and its sender; up to `capacity` chunks are buffered.
pub fn streamed_body(capacity: usize) -> (BodySender, ResponseBody) {
    let (sender, receiver) = mpsc::channel(capacity);
    let is_finished = Arc::new(AtomicBool::new(false));
    let is_complete = Arc::clone(&is_finished);
    let chunks = ReceiverStream::new(receiver).map(|chunk| Ok(Frame::data(chunk)));
    let end = stream::once(async move {
        if is_complete.load(Ordering::Acquire) {
            return None;
        }
        // The HTTP library drops what it has not written yet when a body fails, but writes it
        // while the body is pending.
        tokio::task::yield_now().await;
        Some(Err(IncompleteBody))
    });
    let body = StreamBody::new(chunks.chain(end.filter_map(std::future::ready)));
    (BodySender { sender, is_finished }, body.boxed_unsync())
}

/// Makes a response with a streamed body end with its connection, without length or chunks: its
/// caller then knows as little about its completeness as this VM.
pub fn delimit_by_close(response: &mut Response<ResponseBody>) {
    // The HTTP library frames a response of version 1.1 by chunks, and one of version 1.0 not.
    *response.version_mut() = Version::HTTP_10;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Returns a response whose body is not streamed.
pub fn full_response(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
