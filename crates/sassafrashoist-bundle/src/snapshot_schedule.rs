//! When a VM repeats the bundle in force in the stream, so that the log may forget older records.
//!
//! Every VM may write a snapshot, and one that others wrote counts as well. Each waits longer by
//! its rank, so one writes and the others find its snapshot before their own time comes.

use std::time::Duration;

use sassafrashoist_core::ids::Timestamp;

/// Records after which a snapshot is due before its time.
const MAX_RECORDS_BETWEEN: u64 = 200;
/// The part of the interval after which a snapshot is due when there are many records.
const MANY_RECORDS_DIVISOR: u32 = 10;
/// The part of the interval by which a VM waits for the one before it in rank.
const RANK_DIVISOR: u32 = 10;
/// The rank from which on VMs wait equally long.
const MAX_RANK: u32 = 5;

/// When a VM repeats the bundle in force in the stream.
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

    /// Records that a snapshot was written, by whomever.
    pub fn record_written(&mut self, now: Timestamp) {
        self.written_at = now;
    }

    /// Returns whether the VM of a rank is to write one.
    pub fn is_due(&self, rank: usize, records_since: u64, now: Timestamp) -> bool {
        let rank = u32::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK);
        let wait = if records_since > MAX_RECORDS_BETWEEN {
            self.interval / MANY_RECORDS_DIVISOR
        } else {
            self.interval
        };
        now.saturating_sub(self.written_at) >= wait + self.interval / RANK_DIVISOR * rank
    }
}
