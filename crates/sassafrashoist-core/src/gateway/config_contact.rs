//! Whether a VM is in contact with what brings new configurations.
//!
//! A VM whose configuration is too old must not serve by it, unless it is cut off: then nobody can
//! bring it a newer one, and its callers are better served than refused. It is in contact while the log
//! service responds to its reads of the configuration, or other VMs tell it what they read. A VM that
//! stood still has heard nothing because it did not listen.

use std::time::Duration;

use super::Uptime;
use super::config_times::ConfigTimes;

/// The part of the time after which the platform counts a VM as in contact again that is left to it to
/// read what it has missed. It begins with the first sign, which comes up to half of that time after the
/// end of an outage.
const SETTLE_FRACTION: f64 = 0.4;

/// Whether a VM is in contact with what brings new configurations.
#[derive(Debug, Clone)]
pub struct ConfigContact {
    longest_silence: Duration,
    settle_time: Duration,
    heard_at: Option<Uptime>,
    in_contact_since: Uptime,
}

impl ConfigContact {
    /// Creates the state of a VM that has heard nothing yet; `contact_time` is the time after an outage
    /// after which the platform counts a VM as in contact again.
    pub fn new(times: &ConfigTimes, contact_time: Duration) -> Self {
        Self {
            longest_silence: times.longest_silence(),
            settle_time: contact_time.mul_f64(SETTLE_FRACTION),
            heard_at: None,
            in_contact_since: Uptime::ZERO,
        }
    }

    /// Records a sign of the log service; `stall_ended_at` is when this VM last stood still.
    pub fn record_heard(&mut self, stall_ended_at: Option<Uptime>, now: Uptime) {
        if !self.is_heard(stall_ended_at, now) {
            self.in_contact_since = now;
        }
        self.heard_at = Some(now);
    }

    /// Returns whether this VM has been in contact for long enough to have the newest configuration.
    pub fn is_settled(&self, stall_ended_at: Option<Uptime>, now: Uptime) -> bool {
        self.is_heard(stall_ended_at, now) && now >= self.in_contact_since + self.settle_time
    }

    fn is_heard(&self, stall_ended_at: Option<Uptime>, now: Uptime) -> bool {
        let Some(heard_at) = self.heard_at else {
            return false;
        };
        let listening_since = heard_at.max(stall_ended_at.unwrap_or_default());
        now <= listening_since + self.longest_silence
    }
}
