//! Counts requests in progress and stops new ones during a graceful shutdown.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts requests in progress and stops new ones during a graceful shutdown.
#[derive(Debug, Default)]
pub struct DrainGate {
    is_draining: AtomicBool,
    in_flight_count: AtomicUsize,
    became_idle: Notify,
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

    /// Counts a request as begun; false when new requests are refused.
    pub fn try_enter(&self) -> bool {
        self.in_flight_count.fetch_add(1, Ordering::SeqCst);
        if self.is_draining() {
            self.leave();
            return false;
        }
        true
    }

    /// Counts a request as ended.
    pub fn leave(&self) {
        self.in_flight_count.fetch_sub(1, Ordering::SeqCst);
        self.notify_if_idle();
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.became_idle.notified();
            if self.in_flight_count() == 0 {
                return;
            }
            notified.await;
        }
    }

    fn notify_if_idle(&self) {
        if self.in_flight_count() == 0 {
            self.became_idle.notify_waiters();
        }
    }
}
