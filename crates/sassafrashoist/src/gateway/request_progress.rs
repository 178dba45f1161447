//! How far a request has come, for the answer if this VM cuts it off.

use std::sync::atomic::{AtomicBool, Ordering};

/// How far a request has come.
#[derive(Debug, Default)]
pub struct RequestProgress {
    was_sent: AtomicBool,
}

impl RequestProgress {
    /// Records that the request is about to be sent to a server, which may run it.
    pub fn record_sent(&self) {
        self.was_sent.store(true, Ordering::Release);
    }

    /// Returns whether the request may have reached a server.
    pub fn was_sent(&self) -> bool {
        self.was_sent.load(Ordering::Acquire)
    }
}
