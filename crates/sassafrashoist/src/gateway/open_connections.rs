//! The connections that are open, and what is owed to the callers at their other ends.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use sassafrashoist_core::gateway::connection_phase::{ConnectionPhase, PhaseCounts};
use tokio_util::task::TaskTracker;

use super::open_connection::OpenConnection;

/// The connections that are open: each from when it was accepted until its socket is closed.
#[derive(Debug, Default)]
pub struct OpenConnections {
    counts: Mutex<PhaseCounts>,
    open: TaskTracker,
}

impl OpenConnections {
    /// Adds a connection that was accepted.
    pub fn add(self: &Arc<Self>) -> Arc<OpenConnection> {
        self.update(PhaseCounts::open);
        Arc::new(OpenConnection::new(Arc::clone(self), self.open.token()))
    }

    /// Returns the number of connections in each phase.
    pub fn counts(&self) -> PhaseCounts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until no connection is open.
    pub async fn wait_until_closed(&self) {
        self.open.close();
        self.open.wait().await;
    }

    pub(super) fn record_change(&self, from: ConnectionPhase, to: ConnectionPhase) {
        self.update(|counts| counts.change(from, to));
    }

    pub(super) fn record_end(&self, phase: ConnectionPhase) {
        self.update(|counts| counts.close(phase));
    }

    fn update(&self, update: impl FnOnce(&mut PhaseCounts)) {
        update(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

/// Writes the counts for a log line.
impl fmt::Display for OpenConnections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.counts();
        write!(
            f,
            "{} opened, {} idle, {} reading a head, {} in a request, {} writing a response, \
             {} closing",
            counts.opened,
            counts.idle,
            counts.reading_head,
            counts.in_request,
            counts.writing_response,
            counts.closing
        )
    }
}
