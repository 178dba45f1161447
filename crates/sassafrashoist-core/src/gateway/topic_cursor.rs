//! Where to read on in a topic of which only the newest record of each key matters.
//!
//! After an outage or in a storm of changes, the records that were missed may be many times larger
//! than the newest record of each key. A VM with a narrow link would spend seconds on records that
//! others have replaced, or never get through. So it reads the newest records instead.

use std::time::Duration;

use super::Uptime;
use crate::ids::LogOffset;

/// The outage after which missed records are not read one by one: several times as long as a read
/// waits for news.
const LONG_OUTAGE: Duration = Duration::from_secs(2);

/// What to read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// The newest record of each key.
    Newest,
    /// All records from an offset.
    From(LogOffset),
}

/// Where to read on in a topic of which only the newest record of each key matters.
#[derive(Debug, Default)]
pub struct TopicCursor {
    next: Option<LogOffset>,
    reached_at: Uptime,
}

impl TopicCursor {
    /// Returns what to read next.
    pub fn next_read(&self, now: Uptime) -> NextRead {
        match self.next {
            Some(next) if now < self.reached_at + LONG_OUTAGE => NextRead::From(next),
            Some(_) | None => NextRead::Newest,
        }
    }

    /// Records that the newest records were read, while the topic ended at `end`.
    pub fn record_newest(&mut self, end: LogOffset, now: Uptime) {
        self.next = Some(end);
        self.reached_at = now;
    }

    /// Records that the records before `next` were read, while the topic ended at `end`. If one read
    /// did not bring all of them, too much was missed.
    pub fn record_read(&mut self, next: LogOffset, end: LogOffset, now: Uptime) {
        self.next = (next >= end).then_some(next);
        self.reached_at = now;
    }

    /// Records that this VM itself appended up to `end`, so that this need not be read.
    pub fn skip_to(&mut self, end: LogOffset) {
        self.next = self.next.map(|next| next.max(end));
    }

    /// Records that the service no longer has what was to be read.
    pub fn record_trimmed(&mut self) {
        self.next = None;
    }
}
