//! The body of a request whose connection knows whether it was read to its end.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::open_connection::OpenConnection;

/// The body of a request.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    connection: Arc<OpenConnection>,
}

impl RequestBody {
    /// Wraps the body of the request that was read on a connection.
    pub fn new(body: Incoming, connection: &Arc<OpenConnection>) -> Self {
        connection.record_body_unfinished(!body.is_end_stream());
        Self { body, connection: Arc::clone(connection) }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.connection.record_body_unfinished(false);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
