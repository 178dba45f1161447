//! How much of an event stream may be no new event.
//!
//! Comments keep a stream alive, and a server may repeat events. A faulty one may send them without
//! end. The allowance grows with time, so that keep-alives can go on for as long as they like.

use std::time::Duration;

use super::Uptime;

/// The most bytes without a new event that may come at once.
const MAX_IDLE_BYTES: usize = 65_536;
/// The bytes without a new event that may come in a second for any time.
const IDLE_BYTES_PER_S: usize = 4_096;
/// What a short comment counts as, as each is handled and sent by itself.
const MIN_EVENT_BYTES: usize = 128;

/// The bytes of an event stream that came since its last new event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventAllowance {
    idle_bytes: usize,
    grown_at: Uptime,
}

impl EventAllowance {
    /// Records a new event of the stream.
    pub fn record_event(&mut self) {
        self.idle_bytes = 0;
    }

    /// Records bytes that are no new event; returns whether that was too many.
    pub fn record_idle(&mut self, bytes: usize, now: Uptime) -> bool {
        let grown_time = now.saturating_sub(self.grown_at);
        if grown_time >= Duration::from_secs(1) {
            let grown_bytes = grown_time.as_secs_f64() * IDLE_BYTES_PER_S as f64;
            self.idle_bytes = self.idle_bytes.saturating_sub(grown_bytes as usize);
            self.grown_at = now;
        }
        self.idle_bytes = self.idle_bytes.saturating_add(bytes.max(MIN_EVENT_BYTES));
        self.idle_bytes > MAX_IDLE_BYTES
    }
}
