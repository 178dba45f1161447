//! Reports a caller that disconnects before its response has started.

use sassafrashoist_core::ids::RequestId;

/// Counts and logs a caller that disconnects before its response has started.
///
/// When the caller disconnects, the HTTP server drops the future that handles the request, and this
/// guard with it.
#[derive(Debug)]
pub struct DisconnectGuard {
    id: RequestId,
    has_response: bool,
}

impl DisconnectGuard {
    /// Creates a guard for the caller of a request.
    pub fn new(id: RequestId) -> Self {
        Self { id, has_response: false }
    }

    /// Drops the guard without a report, because there is a response.
    pub fn disarm(mut self) {
        self.has_response = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.has_response {
            metrics::counter!("sassafrashoist_callers_left_total").increment(1);
            log::info!(id = self.id; "caller left before its answer");
        }
    }
}
