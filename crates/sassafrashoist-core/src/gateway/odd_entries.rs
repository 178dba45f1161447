//! Which of the entries of a topic that cannot be decoded are logged.
//!
//! Another writer may leave any number of them, and write them again and again.

use std::collections::HashMap;
use std::time::Duration;

use super::Uptime;
use crate::ids::LogOffset;

/// The most lines in one [`PERIOD`].
const MAX_LINES: u32 = 10;
/// The time for which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// The most entries that are remembered as logged.
const MAX_KEPT_ENTRIES: usize = 4_096;

/// The entries of a topic that cannot be decoded.
#[derive(Debug, Default)]
pub struct OddEntries {
    seen: HashMap<String, LogOffset>,
    period_began_at: Uptime,
    line_count: u32,
    unlogged_count: u64,
}

impl OddEntries {
    /// Records an entry that cannot be decoded. If it is to be logged, returns the number of entries
    /// that were not logged since the last one that was.
    pub fn record(&mut self, key: &str, offset: LogOffset, now: Uptime) -> Option<u64> {
        if self.seen.get(key) == Some(&offset) {
            return None;
        }
        if self.seen.len() >= MAX_KEPT_ENTRIES {
            self.seen.clear();
        }
        self.seen.insert(key.to_owned(), offset);
        if now >= self.period_began_at + PERIOD {
            self.period_began_at = now;
            self.line_count = 0;
        }
        if self.line_count == MAX_LINES {
            self.unlogged_count += 1;
            return None;
        }
        self.line_count += 1;
        Some(std::mem::take(&mut self.unlogged_count))
    }
}
