//! Counts requests in progress and stops new ones during a graceful shutdown.
//!
//! A request is in progress until its answer has left: the caller's connection holds the
//! [`InFlightMark`] together with the answer's body, and drops both after the last byte.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body::{Frame, SizeHint};
use tokio::sync::Notify;
use volo_http::body::Body;

/// Counts requests in progress and stops new ones during a graceful shutdown.
#[derive(Debug, Default)]
pub struct DrainGate {
    is_draining: AtomicBool,
    in_flight_count: AtomicUsize,
    became_idle: Notify,
}

/// Counts one request as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlightMark {
    gate: Arc<DrainGate>,
}

impl Drop for InFlightMark {
    fn drop(&mut self) {
        self.gate.leave();
    }
}

/// An answer's body that holds its request in progress until it was read or dropped.
struct MarkedBody {
    body: Body,
    _mark: Arc<InFlightMark>,
}

impl http_body::Body for MarkedBody {
    type Data = Bytes;
    type Error = volo_http::error::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx).map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        http_body::Body::size_hint(&self.body)
    }
}

/// Keeps a request in progress until the body of its answer has left.
pub fn mark_answer(response: Response<Body>, mark: Arc<InFlightMark>) -> Response<Body> {
    response.map(|body| Body::from_body(MarkedBody { body, _mark: mark }))
}

impl DrainGate {
    /// Refuses new requests from now on.
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.notify_if_idle();
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in progress.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight_count.load(Ordering::SeqCst)
    }

    /// Counts a request as begun; `None` when new requests are refused.
    pub fn try_enter(self: &Arc<Self>) -> Option<Arc<InFlightMark>> {
        self.in_flight_count.fetch_add(1, Ordering::SeqCst);
        let mark = Arc::new(InFlightMark { gate: Arc::clone(self) });
        (!self.is_draining()).then_some(mark)
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.became_idle.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.in_flight_count() == 0 {
                return;
            }
            notified.await;
        }
    }

    fn leave(&self) {
        self.in_flight_count.fetch_sub(1, Ordering::SeqCst);
        self.notify_if_idle();
    }

    fn notify_if_idle(&self) {
        if self.in_flight_count() == 0 {
            self.became_idle.notify_waiters();
        }
    }
}
