//! The read position in a topic of which only the newest record of each key matters.
//!
//! After an outage or during a burst of changes, the missed records may be many times larger than
//! the newest record of each key. A VM with little bandwidth would spend seconds on superseded
//! records, or never catch up. It therefore reads the newest record of each key instead.

use std::time::Duration;

use super::Uptime;
use crate::ids::LogOffset;

/// The time since the last read after which missed records are not read one by one: several times
/// as long as a read waits for new records.
const LONG_OUTAGE: Duration = Duration::from_secs(2);

/// The next read of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// The newest record of each key.
    Newest,
    /// All records from this offset on.
    From(LogOffset),
}

/// The read position in a topic of which only the newest record of each key matters.
#[derive(Debug, Default)]
pub struct TopicCursor {
    next: Option<LogOffset>,
    last_read_at: Uptime,
}

impl TopicCursor {
    /// Returns the read to make next.
    pub fn next_read(&self, now: Uptime) -> NextRead {
        match self.next {
            Some(next) if now < self.last_read_at + LONG_OUTAGE => NextRead::From(next),
            Some(_) | None => NextRead::Newest,
        }
    }

    /// Records that the newest record of each key was read, while the topic ended at `end`.
    pub fn record_newest(&mut self, end: LogOffset, now: Uptime) {
        self.next = Some(end);
        self.last_read_at = now;
    }

    /// Records that the records before `next` were read, while the topic ended at `end`.
    ///
    /// If the read did not reach the end, too much was missed: the next read is of the newest
    /// records.
    pub fn record_read(&mut self, next: LogOffset, end: LogOffset, now: Uptime) {
        self.next = (next >= end).then_some(next);
        self.last_read_at = now;
    }

    /// Records that this VM itself appended the records before `end`, which need not be read.
    pub fn skip_to(&mut self, end: LogOffset) {
        self.next = self.next.map(|next| next.max(end));
    }

    /// Records that the log service no longer has the records to read.
    pub fn record_trimmed(&mut self) {
        self.next = None;
    }
}
