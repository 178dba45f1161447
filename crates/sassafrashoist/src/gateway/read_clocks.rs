//! Reads the clocks of the VM, which a restart of the process does not reset.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use sassafrashoist_core::gateway::clock_reading::ClockReading;

/// Reads the clocks of the VM, which a restart of the process does not reset.
pub fn read_clocks() -> ClockReading {
    ClockReading {
        since_boot: to_duration(clock_gettime(ClockId::Boottime)),
        since_epoch: to_duration(clock_gettime(ClockId::Realtime)),
    }
}

fn to_duration(time: Timespec) -> Duration {
    // Both clocks count up from 0.
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
