//! The body of a request whose connection knows whether it was read to its end.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::framing_meter::FramingMeter;
use super::open_connection::OpenConnection;

/// The body of a request.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    connection: Arc<OpenConnection>,
    meter: FramingMeter,
}

impl RequestBody {
    /// Wraps the body of the request that was read on a connection.
    pub fn new(body: Incoming, connection: &Arc<OpenConnection>, meter: FramingMeter) -> Self {
        connection.record_body_unfinished(!body.is_end_stream());
        meter.lock().record_head();
        Self { body, connection: Arc::clone(connection), meter }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Self { body, connection, meter } = &mut *self;
        let mut allowance = meter.lock();
        let frame = ready!(Pin::new(body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => allowance.record_data(),
            // The rest of such a body is not read, as it may have no end.
            Some(Err(_)) if allowance.excess_bytes().is_some() => {
                connection.record_body_unfinished(false)
            }
            Some(Err(_)) | None => {}
        }
        drop(allowance);
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

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.meter.lock().discard_rest();
    }
}
