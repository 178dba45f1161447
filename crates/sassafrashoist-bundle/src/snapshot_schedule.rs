//! When a VM writes a snapshot of the active bundle to the stream, so that the log can trim older
//! records.
//!
//! Every VM may write a snapshot, and a snapshot of any VM restarts the interval of all. Each VM
//! waits longer the higher its rank, so that one writes and the others read its snapshot before
//! they are due.

use std::time::Duration;

use sassafrashoist_core::ids::Timestamp;

/// Number of records since the last snapshot above which the next one is due early.
const MAX_RECORDS_BETWEEN_SNAPSHOTS: u64 = 200;
/// Divisor of the interval that gives the shorter interval when there are many records.
const EARLY_INTERVAL_DIVISOR: u32 = 10;
/// Divisor of the interval that gives the extra delay per rank.
const RANK_DELAY_DIVISOR: u32 = 10;
/// Highest rank that adds to the delay; VMs of higher ranks wait as long as this one.
const MAX_RANK: u32 = 5;

/// The schedule by which a VM writes snapshots of the active bundle.
#[derive(Debug, Clone)]
pub struct SnapshotSchedule {
    interval: Duration,
    written_at: Timestamp,
}

impl SnapshotSchedule {
    /// Starts a schedule, as if a snapshot had just been written.
    pub fn new(interval: Duration, now: Timestamp) -> Self {
        Self { interval, written_at: now }
    }

    /// Records that a snapshot was written, by this or another VM.
    pub fn record_written(&mut self, now: Timestamp) {
        self.written_at = now;
    }

    /// Returns whether a VM of this rank must write a snapshot now.
    pub fn is_due(&self, rank: usize, records_since: u64, now: Timestamp) -> bool {
        let rank = u32::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK);
        let wait = if records_since > MAX_RECORDS_BETWEEN_SNAPSHOTS {
            self.interval / EARLY_INTERVAL_DIVISOR
        } else {
            self.interval
        };
        now.saturating_sub(self.written_at) >= wait + self.interval / RANK_DELAY_DIVISOR * rank
    }
}
