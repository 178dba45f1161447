//! How long a connection may stay in each phase.

use std::time::Duration;

use super::connection_phase::ConnectionPhase;
use super::fleet_config::CallerLimits;

/// How long a connection may be idle before a configuration has been read.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a connection may stay in each phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// How long a connection may be idle.
    pub idle: Duration,
    /// How long a request head may take to arrive, from its first byte on.
    pub head: Duration,
}

impl ConnectionTimeouts {
    /// Returns the timeouts that a configuration sets.
    pub fn of(limits: &CallerLimits) -> Self {
        let timeout = limits.idle_timeout.max(limits.header_timeout);
        Self { idle: timeout, head: timeout }
    }

    /// Returns how long a connection may stay in a phase, `None` if the request decides that.
    pub fn longest(&self, phase: ConnectionPhase) -> Option<Duration> {
        match phase {
            ConnectionPhase::Opened | ConnectionPhase::Idle => Some(self.idle),
            ConnectionPhase::ReadingHead => Some(self.head),
            ConnectionPhase::InRequest
            | ConnectionPhase::WritingResponse
            | ConnectionPhase::Closing => None,
        }
    }
}

impl Default for ConnectionTimeouts {
    fn default() -> Self {
        Self { idle: DEFAULT_TIMEOUT, head: DEFAULT_TIMEOUT }
    }
}
