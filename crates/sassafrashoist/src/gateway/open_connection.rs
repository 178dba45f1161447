//! A connection that is open.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use http::Version;
use sassafrashoist_core::gateway::caller_check::ResponseProgress;
use sassafrashoist_core::gateway::connection_phase::ConnectionPhase;
use tokio::sync::Notify;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::open_connections::OpenConnections;

/// A connection that is open; dropping it counts it as closed.
///
/// The socket, the task that serves it and the bodies of its request and response share it. All of
/// them are polled by that task, so that the phase does not change between a test and an update.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Arc<OpenConnections>,
    phase: Mutex<ConnectionPhase>,
    change_count: AtomicU64,
    /// The rank among the idle connections while it is idle.
    idle_rank: Mutex<Option<u64>>,
    /// Notified to close the connection if it is idle.
    close_idle: Arc<Notify>,
    is_body_unfinished: AtomicBool,
    is_interim_allowed: AtomicBool,
    is_chunked: AtomicBool,
    has_unwritten_bytes: AtomicBool,
    _open: TaskTrackerToken,
}

impl OpenConnection {
    pub(super) fn new(connections: Arc<OpenConnections>, open: TaskTrackerToken) -> Self {
        Self {
            connections,
            phase: Mutex::new(ConnectionPhase::Opened),
            change_count: AtomicU64::new(0),
            idle_rank: Mutex::default(),
            close_idle: Arc::default(),
            is_body_unfinished: AtomicBool::new(false),
            is_interim_allowed: AtomicBool::new(false),
            is_chunked: AtomicBool::new(false),
            has_unwritten_bytes: AtomicBool::new(false),
            _open: open,
        }
    }

    /// Returns what is owed to the caller.
    pub fn phase(&self) -> ConnectionPhase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how often the phase has changed, which tells two equal phases apart.
    pub fn change_count(&self) -> u64 {
        self.change_count.load(Ordering::Acquire)
    }

    /// Records that bytes were read. Those that are read during a request belong to its body. Line
    /// breaks between two requests are no part of a head.
    pub fn record_read(&self, bytes: &[u8]) {
        let is_line_break = |byte: &u8| matches!(byte, b'\r' | b'\n');
        if bytes.iter().all(is_line_break) {
            return;
        }
        if matches!(self.phase(), ConnectionPhase::Opened | ConnectionPhase::Idle) {
            self.set_phase(ConnectionPhase::ReadingHead);
        }
    }

    /// Records that the head of a request was read, whose caller uses this version of HTTP.
    pub fn record_request(&self, version: Version) {
        self.is_interim_allowed.store(version == Version::HTTP_11, Ordering::Release);
        self.is_chunked.store(false, Ordering::Release);
        self.set_phase(ConnectionPhase::InRequest);
    }

    /// Records that the response of the newest request has started.
    pub fn record_response_start(&self, is_chunked: bool) {
        self.is_interim_allowed.store(false, Ordering::Release);
        self.is_chunked.store(is_chunked, Ordering::Release);
    }

    /// Returns whether a request was read to its end, and a part of its response is still to come.
    pub fn awaits_response(&self) -> bool {
        let is_in_request =
            matches!(self.phase(), ConnectionPhase::InRequest | ConnectionPhase::WritingResponse);
        is_in_request && !self.is_body_unfinished()
    }

    /// Returns what is known of the response of the newest request.
    pub fn response_progress(&self) -> ResponseProgress {
        let is_in_request = self.phase() == ConnectionPhase::InRequest;
        if !is_in_request || self.has_unwritten_bytes.load(Ordering::Acquire) {
            ResponseProgress::NothingAllowed
        } else if self.is_interim_allowed.load(Ordering::Acquire) {
            ResponseProgress::NotStarted
        } else if self.is_chunked.load(Ordering::Acquire) {
            ResponseProgress::BetweenChunks
        } else {
            ResponseProgress::NothingAllowed
        }
    }

    /// Records whether a part of the body of the newest request has not been read yet.
    pub fn record_body_unfinished(&self, is_unfinished: bool) {
        self.is_body_unfinished.store(is_unfinished, Ordering::Release);
    }

    /// Returns whether a part of the body of the newest request has not been read.
    pub fn is_body_unfinished(&self) -> bool {
        self.is_body_unfinished.load(Ordering::Acquire)
    }

    /// Records that the HTTP library has taken the whole response.
    pub fn record_response(&self) {
        if self.phase() == ConnectionPhase::InRequest {
            self.set_phase(ConnectionPhase::WritingResponse);
        }
    }

    /// Records that the HTTP library writes bytes, of which a part may be left in its buffer.
    pub fn record_write(&self) {
        self.has_unwritten_bytes.store(true, Ordering::Release);
    }

    /// Records that all bytes that the HTTP library has taken were written.
    pub fn record_written(&self) {
        self.has_unwritten_bytes.store(false, Ordering::Release);
        if self.phase() == ConnectionPhase::WritingResponse {
            self.set_phase(ConnectionPhase::Idle);
        }
    }

    /// Waits until the connection is to be closed if it is idle.
    pub async fn wait_for_close_request(&self) {
        self.close_idle.notified().await;
    }

    /// Records that the connection is closed with nothing owed.
    pub fn record_closing(&self) {
        self.set_phase(ConnectionPhase::Closing);
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        let mut current = self.phase.lock().unwrap_or_else(PoisonError::into_inner);
        self.connections.record_change(*current, phase);
        *current = phase;
        self.change_count.fetch_add(1, Ordering::AcqRel);
        drop(current);
        let rank = (phase == ConnectionPhase::Idle)
            .then(|| self.connections.record_idle(&self.close_idle));
        self.set_idle_rank(rank);
    }

    fn set_idle_rank(&self, rank: Option<u64>) {
        let mut current = self.idle_rank.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(earlier_rank) = std::mem::replace(&mut *current, rank) {
            self.connections.record_idle_end(earlier_rank);
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.set_idle_rank(None);
        self.connections.record_end(self.phase());
    }
}
