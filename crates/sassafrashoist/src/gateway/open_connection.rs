//! A connection that is open.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use sassafrashoist_core::gateway::connection_phase::ConnectionPhase;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::open_connections::OpenConnections;

/// A connection that is open; dropping it counts it as closed.
///
/// The socket, the task that serves it and the body of its response share it.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Arc<OpenConnections>,
    phase: Mutex<ConnectionPhase>,
    has_unread_body: AtomicBool,
    _open: TaskTrackerToken,
}

impl OpenConnection {
    pub(super) fn new(connections: Arc<OpenConnections>, open: TaskTrackerToken) -> Self {
        let phase = Mutex::new(ConnectionPhase::Opened);
        Self { connections, phase, has_unread_body: AtomicBool::new(false), _open: open }
    }

    /// Returns what is owed to the caller.
    pub fn phase(&self) -> ConnectionPhase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes were read. Those that are read during a request belong to its body.
    pub fn record_read(&self) {
        if matches!(self.phase(), ConnectionPhase::Opened | ConnectionPhase::Idle) {
            self.set_phase(ConnectionPhase::ReadingHead);
        }
    }

    /// Records that the head of a request was read.
    pub fn record_request(&self) {
        self.set_phase(ConnectionPhase::InRequest);
    }

    /// Records whether the body of the newest request may not have been read to its end.
    pub fn record_unread_body(&self, has_unread_body: bool) {
        self.has_unread_body.store(has_unread_body, Ordering::Release);
    }

    /// Returns whether the body of the newest request may not have been read to its end.
    pub fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Acquire)
    }

    /// Records that the HTTP library has taken the whole response.
    pub fn record_response(&self) {
        if self.phase() == ConnectionPhase::InRequest {
            self.set_phase(ConnectionPhase::WritingResponse);
        }
    }

    /// Records that all bytes that the HTTP library has taken were written.
    pub fn record_written(&self) {
        if self.phase() == ConnectionPhase::WritingResponse {
            self.set_phase(ConnectionPhase::Idle);
        }
    }

    /// Records that the connection is closed with nothing owed.
    pub fn record_closing(&self) {
        self.set_phase(ConnectionPhase::Closing);
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        let mut current = self.phase.lock().unwrap_or_else(PoisonError::into_inner);
        self.connections.record_change(*current, phase);
        *current = phase;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.record_end(self.phase());
    }
}
