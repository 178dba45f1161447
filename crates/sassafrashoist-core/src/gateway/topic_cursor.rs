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
    /// How long the first read since then took that was given up. A busy service may take longer to
    /// respond than [`LONG_OUTAGE`].
    given_up_time: Option<Duration>,
}

impl TopicCursor {
    /// Returns the read to make next.
    pub fn next_read(&self, now: Uptime) -> NextRead {
        let outage_from = self.last_read_at + self.given_up_time.unwrap_or_default();
        match self.next {
            Some(next) if now < outage_from + LONG_OUTAGE => NextRead::From(next),
            Some(_) | None => NextRead::Newest,
        }
    }

    /// Records that the newest record of each key was read, while the topic ended at `end`.
    pub fn record_newest(&mut self, end: LogOffset, now: Uptime) {
        self.next = Some(end);
        self.last_read_at = now;
        self.given_up_time = None;
    }

    /// Records that the records before `next` were read, while the topic ended at `end`.
    ///
    /// If the read did not reach the end, too much was missed: the next read is of the newest
    /// records.
    pub fn record_read(&mut self, next: LogOffset, end: LogOffset, now: Uptime) {
        self.next = (next >= end).then_some(next);
        self.last_read_at = now;
        self.given_up_time = None;
    }

    /// Records that a read was given up after a time without a response.
    pub fn record_given_up(&mut self, took: Duration) {
        self.given_up_time.get_or_insert(took);
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
