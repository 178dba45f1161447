//! Counts requests in flight and refuses new ones during the drain of a graceful shutdown.
//!
//! A request is in flight until its response has been sent: the caller's connection owns the
//! [`InFlightGuard`] together with the response body, and drops both after the last byte.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body::{Frame, SizeHint};
use tokio::sync::Notify;
use volo_http::body::Body;

/// Counts requests in flight and refuses new ones during a graceful shutdown.
#[derive(Debug, Default)]
pub struct DrainGate {
    is_draining: AtomicBool,
    in_flight_count: AtomicUsize,
    became_idle: Notify,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    gate: Arc<DrainGate>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gate.leave();
    }
}

/// A response body that keeps its request counted as in flight until the body is dropped.
struct GuardedBody {
    body: Body,
    _guard: Arc<InFlightGuard>,
}

impl http_body::Body for GuardedBody {
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

/// Keeps a request counted as in flight until the body of its response is dropped.
pub fn attach_guard(response: Response<Body>, guard: Arc<InFlightGuard>) -> Response<Body> {
    response.map(|body| Body::from_body(GuardedBody { body, _guard: guard }))
}

impl DrainGate {
    /// Starts the drain: new requests are refused from now on.
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.notify_if_idle();
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight_count.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight, or returns `None` when new requests are refused.
    pub fn try_enter(self: &Arc<Self>) -> Option<Arc<InFlightGuard>> {
        self.in_flight_count.fetch_add(1, Ordering::SeqCst);
        let guard = Arc::new(InFlightGuard { gate: Arc::clone(self) });
        (!self.is_draining()).then_some(guard)
    }

    /// Waits until no request is in flight.
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
