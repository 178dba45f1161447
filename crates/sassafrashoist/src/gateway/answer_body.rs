//! The body of an answer to a caller.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Why the body of an answer ends before its end; the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer was broken off")]
pub struct BrokenOff;

/// The body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// Puts parts into a body that is made while it is sent.
///
/// A sender that is dropped without [`finish`](Self::finish) breaks the answer off, so that it never
/// looks complete by accident.
#[derive(Debug)]
pub struct BodySender {
    sender: mpsc::Sender<Bytes>,
    is_finished: Arc<AtomicBool>,
}

impl BodySender {
    /// Puts in a part; false when the caller is gone.
    pub async fn send(&self, part: Bytes) -> bool {
        self.sender.send(part).await.is_ok()
    }

    /// Returns when the caller is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        self.is_finished.store(true, Ordering::Release);
    }
}

/// Returns a body that is whole.
pub fn whole_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns a body and the end that its parts are put into; up to `capacity` parts wait.
pub fn streamed_body(capacity: usize) -> (BodySender, AnswerBody) {
    let (sender, receiver) = mpsc::channel(capacity);
    let is_finished = Arc::new(AtomicBool::new(false));
    let ending = Arc::clone(&is_finished);
    let parts = ReceiverStream::new(receiver).map(|part| Ok(Frame::data(part)));
    let end = stream::once(async move {
        if ending.load(Ordering::Acquire) { None } else { Some(Err(BrokenOff)) }
    });
    let body = StreamBody::new(parts.chain(end.filter_map(std::future::ready)));
    (BodySender { sender, is_finished }, body.boxed_unsync())
}

/// Returns an answer with a whole body.
pub fn answer(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
