//! How long each step to a new configuration may take.
//!
//! The platform names the time in which a change is to be in force at every VM. It begins with the
//! acknowledgement of the change, of which a VM knows only that it came after the time when it last
//! knew that there was nothing newer. The steps are therefore counted from that time, and leave a read
//! of the log service its time.

use std::time::Duration;

/// The part of the time for which knowledge that nothing is newer suffices.
const KNOWLEDGE_FRACTION: f64 = 0.5;
/// Readers announce what they know once a second.
const MIN_KNOWLEDGE_AGE: Duration = Duration::from_millis(1_200);
/// The part of the time over which VMs without such knowledge begin to read the log service.
const SPREAD_FRACTION: f64 = 0.25;
/// The part of the time that another VM may take to send a configuration.
const FETCH_FRACTION: f64 = 0.15;
/// The part of the time without any sign of the log service after which a VM counts as cut off.
const SILENCE_FRACTION: f64 = 0.625;

/// How long each step to a new configuration may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigTimes {
    apply_time: Duration,
}

impl ConfigTimes {
    /// Creates the times of a platform on which a change is to be in force after `apply_time`.
    pub fn new(apply_time: Duration) -> Self {
        Self { apply_time }
    }

    /// Returns the time in which a change is to be in force at every VM.
    pub fn apply_time(&self) -> Duration {
        self.apply_time
    }

    /// Returns how long ago a reader may have known the newest version.
    pub fn knowledge_age(&self) -> Duration {
        self.apply_time.mul_f64(KNOWLEDGE_FRACTION).max(MIN_KNOWLEDGE_AGE)
    }

    /// Returns the longest delay until a VM that hears of no reader any more reads the log service.
    pub fn log_read_spread(&self) -> Duration {
        self.apply_time.mul_f64(SPREAD_FRACTION)
    }

    /// Returns how long another VM may take to send a configuration; its link may be in use by others.
    pub fn fetch_timeout(&self) -> Duration {
        self.apply_time.mul_f64(FETCH_FRACTION)
    }

    /// Returns how long a VM that is not cut off hears nothing of the log service at the most.
    pub fn longest_silence(&self) -> Duration {
        self.apply_time.mul_f64(SILENCE_FRACTION)
    }
}
