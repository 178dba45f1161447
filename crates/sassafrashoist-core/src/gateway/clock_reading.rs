//! A simultaneous reading of two clocks of a VM.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The time since boot above which a difference between two readings can only come from a new boot:
/// the time of day jumps by seconds at most.
const MAX_CLOCK_JUMP: Duration = Duration::from_secs(600);

/// A simultaneous reading of two clocks of a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Time since the VM was booted, including the time that it was suspended.
    pub since_boot: Duration,
    /// Time since the Unix epoch; it may jump.
    pub since_epoch: Duration,
}

impl ClockReading {
    /// Returns the time since an earlier reading on the same VM, as far as the clocks tell.
    ///
    /// Within one boot this is the difference of the times since boot. After a new boot only the
    /// time of day is comparable.
    pub fn elapsed_since(&self, earlier: &Self) -> Option<Duration> {
        self.elapsed_within_boot(earlier)
            .or_else(|| self.since_epoch.checked_sub(earlier.since_epoch))
    }

    /// Returns the time since an earlier reading of the same boot.
    pub fn elapsed_within_boot(&self, earlier: &Self) -> Option<Duration> {
        let by_boot = self.since_boot.checked_sub(earlier.since_boot)?;
        (by_boot < MAX_CLOCK_JUMP).then_some(by_boot)
    }
}
