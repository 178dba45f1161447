//! How long a connection may stay in each phase, and how long a head on it may be.

use std::time::Duration;

use super::connection_phase::ConnectionPhase;
use super::fleet_config::CallerLimits;

/// How long a connection may be idle before a configuration has been read.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum length of a request head before a configuration has been read.
const DEFAULT_MAX_HEAD_BYTES: usize = 16_384;
/// The smallest limit of a request head; what is read at once.
const MIN_HEAD_BYTES: usize = 8_192;

/// How long a connection may stay in each phase, and how long a head on it may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// How long a request head may take to arrive, from its first byte on.
    pub head_timeout: Duration,
    /// The maximum length of a request head.
    pub max_head_bytes: usize,
}

impl ConnectionLimits {
    /// Returns the limits that a configuration sets.
    pub fn of(limits: &CallerLimits) -> Self {
        let timeout = limits.idle_timeout.max(limits.header_timeout);
        Self {
            idle_timeout: timeout,
            head_timeout: timeout,
            max_head_bytes: limits.max_header_bytes.max(MIN_HEAD_BYTES),
        }
    }

    /// Returns how long a connection may stay in a phase, `None` if the request decides that.
    pub fn longest(&self, phase: ConnectionPhase) -> Option<Duration> {
        match phase {
            ConnectionPhase::Opened | ConnectionPhase::Idle => Some(self.idle_timeout),
            ConnectionPhase::ReadingHead => Some(self.head_timeout),
            ConnectionPhase::InRequest
            | ConnectionPhase::WritingResponse
            | ConnectionPhase::Closing => None,
        }
    }
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            idle_timeout: DEFAULT_TIMEOUT,
            head_timeout: DEFAULT_TIMEOUT,
            max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
        }
    }
}
