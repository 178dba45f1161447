//! The circuit breaker of one backend server.
//!
//! Consecutive failures of requests open the breaker, for longer each time. When the open time has
//! passed, the breaker is half open and lets one request at a time through as a probe. Enough
//! successful probes close it. Responses to load polls never close it: a server may respond to
//! polls and still fail every request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Timestamp;

/// Consecutive failures that open a closed breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// Consecutive successful probes that close a half-open breaker.
const PROBES_TO_CLOSE: u32 = 2;
/// How long the breaker stays open the first time.
const FIRST_OPEN_TIME: Duration = Duration::from_millis(500);
/// Maximum number of doublings of the open time, which limits it to 32 s.
const MAX_DOUBLINGS: u32 = 6;

/// Whether requests may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BreakerState {
    /// Requests are sent to it.
    Closed {
        /// Failures since the last success.
        failure_count: u32,
    },
    /// No request is sent to it.
    Open {
        /// When the first probe may be sent.
        until: Timestamp,
    },
    /// One request at a time is sent to it.
    HalfOpen {
        /// Whether a probe is in progress.
        is_probing: bool,
        /// Successful probes in a row.
        success_count: u32,
    },
}

/// What the end of one attempt shows about the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptVerdict {
    /// The server handled the attempt.
    Succeeded,
    /// The server failed the attempt.
    Failed,
    /// The attempt shows nothing about the server's health.
    Neutral,
}

/// The circuit breaker of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CircuitBreaker {
    state: BreakerState,
    doubling_count: u32,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self { state: BreakerState::Closed { failure_count: 0 }, doubling_count: 0 }
    }
}

impl CircuitBreaker {
    /// Returns the state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Returns whether another request may begin.
    pub fn allows_attempt(&self) -> bool {
        match self.state {
            BreakerState::Closed { .. } => true,
            BreakerState::Open { .. } => false,
            BreakerState::HalfOpen { is_probing, .. } => !is_probing,
        }
    }

    /// Returns whether the server counts as ejected, which it does unless the breaker is closed.
    pub fn is_ejected(&self) -> bool {
        !matches!(self.state, BreakerState::Closed { .. })
    }

    /// Records that the probe of a half-open breaker has begun.
    pub fn begin_attempt(&mut self) {
        if let BreakerState::HalfOpen { is_probing, .. } = &mut self.state {
            *is_probing = true;
        }
    }

    /// Applies the verdict on an ended attempt; `may_eject` is false while the limit on ejected
    /// servers is reached.
    pub fn end_attempt(&mut self, verdict: AttemptVerdict, may_eject: bool, now: Timestamp) {
        self.state = match (self.state, verdict) {
            (BreakerState::Closed { failure_count }, AttemptVerdict::Failed) => {
                if failure_count + 1 >= FAILURES_TO_OPEN && may_eject {
                    self.open(now)
                } else {
                    BreakerState::Closed { failure_count: failure_count + 1 }
                }
            }
            (BreakerState::Closed { .. }, AttemptVerdict::Succeeded) => {
                BreakerState::Closed { failure_count: 0 }
            }
            (BreakerState::HalfOpen { .. }, AttemptVerdict::Failed) => self.open(now),
            (BreakerState::HalfOpen { success_count, .. }, AttemptVerdict::Succeeded) => {
                self.record_probe_success(success_count + 1)
            }
            (BreakerState::HalfOpen { success_count, .. }, AttemptVerdict::Neutral) => {
                BreakerState::HalfOpen { is_probing: false, success_count }
            }
            (state, _) => state,
        };
    }

    /// Half-opens an open breaker whose open time has passed.
    pub fn advance(&mut self, now: Timestamp) {
        if let BreakerState::Open { until } = self.state
            && until <= now
        {
            self.state = BreakerState::HalfOpen { is_probing: false, success_count: 0 };
        }
    }

    fn open(&mut self, now: Timestamp) -> BreakerState {
        let until = now + FIRST_OPEN_TIME * (1 << self.doubling_count);
        self.doubling_count = (self.doubling_count + 1).min(MAX_DOUBLINGS);
        BreakerState::Open { until }
    }

    fn record_probe_success(&mut self, success_count: u32) -> BreakerState {
        if success_count < PROBES_TO_CLOSE {
            return BreakerState::HalfOpen { is_probing: false, success_count };
        }
        self.doubling_count = 0;
        BreakerState::Closed { failure_count: 0 }
    }
}
