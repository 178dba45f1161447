//! The circuit breaker of one backend server.
//!
//! Consecutive failures of requests open it, for longer each time. When that time has passed it is
//! half open and lets one request at a time through as a probe. Enough successful probes close it.
//! Answers to load polls never close it: a server may answer them and fail every request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Timestamp;

/// Consecutive failures that open a closed breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// Consecutive successful probes that close a half-open breaker.
const PROBES_TO_CLOSE: u32 = 2;
/// How long the first opening lasts.
const FIRST_OPEN_TIME: Duration = Duration::from_millis(500);
/// Doublings of the open time at most, which bounds it to 32 s.
const MAX_DOUBLINGS: u32 = 6;

/// Whether requests may go to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BreakerState {
    /// Requests go to it.
    Closed {
        /// Failures since the last success.
        failure_count: u32,
    },
    /// No request goes to it.
    Open {
        /// When the first probe may go.
        until: Timestamp,
    },
    /// One request at a time goes to it.
    HalfOpen {
        /// Whether a probe is in progress.
        is_probing: bool,
        /// Successful probes in a row.
        success_count: u32,
    },
}

/// The verdict on one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptVerdict {
    /// The server served it.
    Succeeded,
    /// The server failed it.
    Failed,
    /// It says nothing of the server's health.
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

    /// Returns whether one more request may begin.
    pub fn allows_attempt(&self) -> bool {
        match self.state {
            BreakerState::Closed { .. } => true,
            BreakerState::Open { .. } => false,
            BreakerState::HalfOpen { is_probing, .. } => !is_probing,
        }
    }

    /// Returns whether the server counts as ejected.
    pub fn is_ejected(&self) -> bool {
        !matches!(self.state, BreakerState::Closed { .. })
    }

    /// Marks the probe of a half-open breaker as begun.
    pub fn begin_attempt(&mut self) {
        if let BreakerState::HalfOpen { is_probing, .. } = &mut self.state {
            *is_probing = true;
        }
    }

    /// Takes a verdict; `may_eject` is false while the pool's cap on ejections is reached.
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
                self.pass_probe(success_count + 1)
            }
            (BreakerState::HalfOpen { success_count, .. }, AttemptVerdict::Neutral) => {
                BreakerState::HalfOpen { is_probing: false, success_count }
            }
            (state, _) => state,
        };
    }

    /// Half-opens an open breaker whose time has passed.
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

    fn pass_probe(&mut self, success_count: u32) -> BreakerState {
        if success_count < PROBES_TO_CLOSE {
            return BreakerState::HalfOpen { is_probing: false, success_count };
        }
        self.doubling_count = 0;
        BreakerState::Closed { failure_count: 0 }
    }
}
