//! Whether the process of a VM stood still.
//!
//! A process that is suspended, or gets no processor time, reads late what has arrived meanwhile:
//! requests whose callers may have left, and datagrams that say what was true when they were sent. It
//! notices that by its own timer.

use std::time::Duration;

use super::Uptime;

/// How often a process records that it runs.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two records after which the process stood still.
const MIN_STALL: Duration = Duration::from_millis(250);
/// How long after a stall what is read may have waited: the process works it off one by one.
const AFTERMATH: Duration = Duration::from_secs(1);

/// Whether the process of a VM stood still.
#[derive(Debug, Default)]
pub struct StallWatch {
    ran_at: Uptime,
    last_stall: Option<Stall>,
}

#[derive(Debug, Clone, Copy)]
struct Stall {
    began_at: Uptime,
    ended_at: Uptime,
}

impl StallWatch {
    /// Records that the process runs; returns for how long it stood still before, if it did.
    pub fn record_running(&mut self, now: Uptime) -> Option<Duration> {
        let began_at = self.ran_at;
        let pause = now.saturating_sub(began_at);
        self.ran_at = began_at.max(now);
        if pause < MIN_STALL {
            return None;
        }
        self.last_stall = Some(Stall { began_at, ended_at: now });
        Some(pause)
    }

    /// Returns for how long what is read now may have waited because the process stood still; zero if it
    /// did not.
    pub fn longest_wait(&self, now: Uptime) -> Duration {
        let recent = self.last_stall.filter(|stall| now < stall.ended_at + AFTERMATH);
        recent.map_or(Duration::ZERO, |stall| now.saturating_sub(stall.began_at))
    }

    /// Returns when the process stood still last.
    pub fn stall_ended_at(&self) -> Option<Uptime> {
        self.last_stall.map(|stall| stall.ended_at)
    }
}
