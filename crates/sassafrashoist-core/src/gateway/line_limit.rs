//! Which of many alike events are logged.

use std::time::Duration;

use super::Uptime;

/// The time for which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Bounds the lines about events that another VM may cause any number of times.
#[derive(Debug)]
pub struct LineLimit {
    max_lines_per_s: u32,
    period_began_at: Uptime,
    line_count: u32,
    unlogged_count: u64,
}

impl LineLimit {
    /// Creates a limit that allows this many lines a second.
    pub fn new(max_lines_per_s: u32) -> Self {
        Self {
            max_lines_per_s,
            period_began_at: Uptime::default(),
            line_count: 0,
            unlogged_count: 0,
        }
    }

    /// Records an event. If it is to be logged, returns the number of events that were not logged
    /// since the last one that was.
    pub fn record(&mut self, now: Uptime) -> Option<u64> {
        if now >= self.period_began_at + PERIOD {
            self.period_began_at = now;
            self.line_count = 0;
        }
        if self.line_count >= self.max_lines_per_s {
            self.unlogged_count += 1;
            return None;
        }
        self.line_count += 1;
        Some(std::mem::take(&mut self.unlogged_count))
    }
}
