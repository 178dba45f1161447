//! How many requests this router may have in progress on one backend server.
//!
//! The limit grows by one per round of answers that came without queueing, and shrinks by a factor
//! when an answer shows that the server queues or refuses. Routers that share a server so converge
//! to shares that fill its slots without a queue in front of them.

use std::time::Duration;

use crate::ids::Timestamp;

/// What the limit keeps after an answer that shows queueing.
const QUEUEING_FACTOR: f64 = 0.9;
/// What the limit keeps after a refusal.
const REFUSAL_FACTOR: f64 = 0.7;
/// Time during which one cause shrinks the limit once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// What one answer says of the server's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSignal {
    /// The request did not wait at the server.
    Prompt,
    /// The request waited at the server.
    Queueing,
    /// The server had no room.
    Refused,
}

/// An adaptive limit, at least 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_count: u32,
    decreased_at: Option<Timestamp>,
}

impl ConcurrencyLimit {
    /// Creates a limit that may grow up to `max_count`.
    pub fn new(initial_count: u32, max_count: u32) -> Self {
        let max_count = max_count.max(1);
        let limit = f64::from(initial_count.clamp(1, max_count));
        Self { limit, max_count, decreased_at: None }
    }

    /// Returns how many requests may be in progress.
    pub fn count(&self) -> u32 {
        self.limit as u32
    }

    /// Returns how far the limit may grow.
    pub fn max_count(&self) -> u32 {
        self.max_count
    }

    /// Changes how far the limit may grow.
    pub fn set_max_count(&mut self, max_count: u32) {
        self.max_count = max_count.max(1);
        self.limit = self.limit.min(f64::from(self.max_count));
    }

    /// Starts again at 1, as for a server that has just come back.
    pub fn restart(&mut self) {
        self.limit = 1.0;
    }

    /// Adapts to what an answer says; `in_flight_count` includes the answered request.
    pub fn adapt(&mut self, signal: LoadSignal, in_flight_count: u32, now: Timestamp) {
        match signal {
            LoadSignal::Prompt => self.increase(in_flight_count),
            LoadSignal::Queueing => self.decrease(QUEUEING_FACTOR, now),
            LoadSignal::Refused => self.decrease(REFUSAL_FACTOR, now),
        }
    }

    /// Grows only while the limit is in use: an idle server shows nothing of its capacity.
    fn increase(&mut self, in_flight_count: u32) {
        if in_flight_count * 2 >= self.count() {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.max_count));
        }
    }

    fn decrease(&mut self, factor: f64, now: Timestamp) {
        let is_same_cause =
            self.decreased_at.is_some_and(|at| now.saturating_sub(at) < DECREASE_INTERVAL);
        if !is_same_cause {
            self.limit = (self.limit * factor).max(1.0);
            self.decreased_at = Some(now);
        }
    }
}
