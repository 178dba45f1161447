//! The connections that are open, and what is owed to the callers at their other ends.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sassafrashoist_core::gateway::connection_phase::{ConnectionPhase, PhaseCounts};
use tokio::sync::Notify;
use tokio_util::task::TaskTracker;

use super::open_connection::OpenConnection;

/// The connections that are open: each from when it was accepted until its socket is closed.
#[derive(Debug, Default)]
pub struct OpenConnections {
    counts: Mutex<PhaseCounts>,
    /// The idle connections in the order in which they became idle, each with what closes it.
    idle: Mutex<BTreeMap<u64, Arc<Notify>>>,
    /// How often a connection has become idle.
    idle_count: AtomicU64,
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

    /// Closes the connection that has been idle longest, unless a request arrives on it; returns whether
    /// there is one.
    pub fn close_longest_idle(&self) -> bool {
        let longest_idle = self.lock_idle().pop_first();
        let Some((_, close)) = longest_idle else {
            return false;
        };
        close.notify_one();
        metrics::counter!("sassafrashoist_idle_connections_closed_total").increment(1);
        true
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

    /// Records that a connection is idle; returns its rank among the idle ones.
    pub(super) fn record_idle(&self, close: &Arc<Notify>) -> u64 {
        let rank = self.idle_count.fetch_add(1, Ordering::Relaxed);
        self.lock_idle().insert(rank, Arc::clone(close));
        rank
    }

    /// Records that the connection of this rank is no longer idle.
    pub(super) fn record_idle_end(&self, rank: u64) {
        self.lock_idle().remove(&rank);
    }

    fn lock_idle(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Notify>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
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
