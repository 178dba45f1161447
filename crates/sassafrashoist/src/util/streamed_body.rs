//! A response body that is sent chunk by chunk and is complete only when its sender says so.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body::Frame;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// The error that ends a response body before it is complete; the connection is then closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("response body ended before it was complete")]
pub struct IncompleteBody;

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

/// Returns the frames of a streamed body and the sender of its chunks; up to `capacity` chunks are
/// buffered.
pub fn streamed_frames(
    capacity: usize,
) -> (BodySender, impl Stream<Item = Result<Frame<Bytes>, IncompleteBody>> + Send + Sync + 'static)
{
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
    let frames = chunks.chain(end.filter_map(std::future::ready));
    (BodySender { sender, is_finished }, frames)
}
