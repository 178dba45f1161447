//! Reports a request that ends before its response has started.

use sassafrashoist_core::ids::RequestId;
use tokio_util::sync::CancellationToken;

/// Counts and logs a request that ends before its response has started, because its caller
/// disconnects or because this process exits.
///
/// In both cases the future that handles the request is dropped, and this guard with it.
#[derive(Debug)]
pub struct DisconnectGuard<'a> {
    id: RequestId,
    exiting: &'a CancellationToken,
    has_response: bool,
}

impl<'a> DisconnectGuard<'a> {
    /// Creates a guard for the caller of a request; `exiting` is cancelled when this process exits.
    pub fn new(id: RequestId, exiting: &'a CancellationToken) -> Self {
        Self { id, exiting, has_response: false }
    }

    /// Drops the guard without a report, because there is a response.
    pub fn disarm(mut self) {
        self.has_response = true;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        // A request whose handling panics gets a response.
        if self.has_response || std::thread::panicking() {
            return;
        }
        if self.exiting.is_cancelled() {
            metrics::counter!("sassafrashoist_requests_cut_off_total").increment(1);
            log::warn!(id = self.id; "request cut off without a response: this process exits");
        } else {
            metrics::counter!("sassafrashoist_callers_left_total").increment(1);
            log::info!(id = self.id; "caller left before its answer");
        }
    }
}
