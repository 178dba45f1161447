//! Limits how many requests this router may have in progress on one backend server.
//!
//! The limit follows additive increase and multiplicative decrease: it grows by one per round of
//! responses that came without queueing, and shrinks by a factor when a response shows that the
//! server queues or refuses requests. Routers that share a server thus converge to shares that fill
//! its slots without a queue in front of them.

use std::time::Duration;

use crate::ids::Timestamp;

/// Factor applied to the limit after a response that shows queueing.
const QUEUEING_FACTOR: f64 = 0.9;
/// Factor applied to the limit after a refusal.
const REFUSAL_FACTOR: f64 = 0.7;
/// Shortest time between two decreases, so that responses affected by the same congestion lower the
/// limit only once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// What one response shows about the server's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSignal {
    /// The request did not wait at the server.
    NoQueueing,
    /// The request waited at the server.
    Queueing,
    /// The server had no capacity for the request.
    Refused,
}

/// An adaptive concurrency limit of at least 1.
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

    /// Returns how many requests may be in progress on the server.
    pub fn count(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the largest value that the limit may grow to.
    pub fn max_count(&self) -> u32 {
        self.max_count
    }

    /// Changes the largest value that the limit may grow to.
    pub fn set_max_count(&mut self, max_count: u32) {
        self.max_count = max_count.max(1);
        self.limit = self.limit.min(f64::from(self.max_count));
    }

    /// Resets the limit to 1, for a server that has just recovered.
    pub fn reset(&mut self) {
        self.limit = 1.0;
    }

    /// Adapts to the signal of a response; `in_flight_count` includes the request that ended.
    pub fn adapt(&mut self, signal: LoadSignal, in_flight_count: u32, now: Timestamp) {
        match signal {
            LoadSignal::NoQueueing => self.increase(in_flight_count),
            LoadSignal::Queueing => self.decrease(QUEUEING_FACTOR, now),
            LoadSignal::Refused => self.decrease(REFUSAL_FACTOR, now),
        }
    }

    /// Grows only while at least half of the limit is in use: an idle server shows nothing about
    /// its capacity.
    fn increase(&mut self, in_flight_count: u32) {
        if in_flight_count * 2 >= self.count() {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.max_count));
        }
    }

    fn decrease(&mut self, factor: f64, now: Timestamp) {
        let is_too_soon =
            self.decreased_at.is_some_and(|at| now.saturating_sub(at) < DECREASE_INTERVAL);
        if !is_too_soon {
            self.limit = (self.limit * factor).max(1.0);
            self.decreased_at = Some(now);
        }
    }
}
