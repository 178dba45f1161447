//! How long a read of the log service may wait for its next byte.
//!
//! A dead connection has to be detected soon. A service that all VMs read at once, as after an
//! outage, responds late, and each read that is given up and repeated delays the others further.
//! The timeout therefore doubles with each failure in a row up to a limit, and is halved again after
//! a response that would have come in time with a shorter one.
//!
//! The limit grows with the number of VMs, whose reads are queued before one another. A call that is
//! never answered delays a read by the limit, so that a small fleet has a short one.

use std::time::Duration;

/// The timeout without failures.
pub const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// The limit in a small fleet.
const MIN_LIMIT: Duration = Duration::from_millis(1_750);
/// The limit while the number of VMs is not known.
const LIMIT_WITHOUT_VM_COUNT: Duration = Duration::from_millis(2_800);
/// The limit in a large fleet, for each VM: more than the service takes to send one VM a large
/// configuration.
const LIMIT_PER_VM: Duration = Duration::from_millis(9);
/// The most doublings that are counted.
const MAX_DOUBLINGS: u32 = 4;

/// How long a read of the log service may wait for its next byte.
#[derive(Debug, Default)]
pub struct ReadPatience {
    doublings: u32,
}

impl ReadPatience {
    /// Returns how long the service may send nothing, in addition to the time that a call lets it
    /// wait, in a fleet of `vm_count` VMs; `None` if that is not known.
    pub fn idle_timeout(&self, vm_count: Option<usize>) -> Duration {
        let limit = match vm_count {
            Some(count) => MIN_LIMIT.max(LIMIT_PER_VM.mul_f64(count as f64)),
            None => LIMIT_WITHOUT_VM_COUNT,
        };
        timeout_after(self.doublings).min(limit)
    }

    /// Records that a read failed.
    pub fn record_failure(&mut self) {
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }

    /// Records that a response began after `response_time`, without the time that the call let the
    /// service wait.
    pub fn record_response(&mut self, response_time: Duration) {
        let Some(fewer) = self.doublings.checked_sub(1) else {
            return;
        };
        if response_time * 2 <= timeout_after(fewer) {
            self.doublings = fewer;
        }
    }
}

fn timeout_after(doublings: u32) -> Duration {
    MIN_IDLE_TIMEOUT * 2_u32.pow(doublings)
}
