//! How long a request that resumes a stream waits until the origin of the stream can be found.
//!
//! Load answered: all VMs are killed at once, and the callers of all broken streams return within the
//! same seconds, while the VMs that kept the origins have started again and the server list and the
//! configuration have only just been read, or cannot be read for a moment. A refusal would end streams
//! that can go on shortly after, because a caller resumes a stream once or twice.

use std::time::Duration;

use super::Uptime;

/// Callers abandon a stream without its first event after this time, or after a multiple of the target
/// latency if that is longer.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// The multiple of the target latency after which callers abandon a stream.
const CALLER_PATIENCE_FACTOR: u32 = 4;
/// The time before the origin is looked for again when nothing tells when it can be found: longer than
/// a call to another VM or to the log service takes.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// How long a request that resumes a stream waits until the origin of the stream can be found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginWait {
    until: Uptime,
}

impl OriginWait {
    /// Begins the wait of a request that arrived at `arrived_at`.
    ///
    /// It ends early enough for the first event to reach the caller before that abandons the stream, and
    /// leaves half of the time until the deadline to the stream.
    pub fn begin(arrived_at: Uptime, deadline: Uptime, target_latency: Duration) -> Self {
        let caller_patience = MIN_CALLER_PATIENCE.max(target_latency * CALLER_PATIENCE_FACTOR);
        let until_abandoned = caller_patience.saturating_sub(target_latency);
        let until_deadline = deadline.saturating_sub(arrived_at) / 2;
        Self { until: arrived_at + until_abandoned.min(until_deadline) }
    }

    /// Returns the time to wait before the origin is looked for again; `None` if the request is to be
    /// refused now. `known_delay` is the time before which it cannot be found, if that is known.
    pub fn next_delay(&self, known_delay: Option<Duration>, now: Uptime) -> Option<Duration> {
        let delay = known_delay.unwrap_or(RETRY_INTERVAL);
        (now + delay <= self.until).then_some(delay)
    }
}
