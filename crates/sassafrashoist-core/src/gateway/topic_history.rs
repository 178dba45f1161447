//! How far a topic of the log has been read from its first record on.
//!
//! A topic that was read from its first record to its end hides nothing that was ever in it, however
//! the clocks of servers and VMs stand. That is lost for good if records were trimmed before they were
//! read, or if the log service has lost records that it had acknowledged.

use crate::ids::LogOffset;

/// The most bytes of a topic that are read for its history: many VMs may need it at once, and share
/// the bandwidth of the log service.
const MAX_HISTORY_BYTES: usize = 2 * 1024 * 1024;

/// How far a topic of the log has been read from its first record on.
#[derive(Debug, Default)]
pub struct TopicHistory {
    next: LogOffset,
    read_bytes: usize,
    has_gap: bool,
}

impl TopicHistory {
    /// Returns the offset from which to read on; `None` if the history cannot be known any more.
    pub fn next(&self) -> Option<LogOffset> {
        (!self.has_gap).then_some(self.next)
    }

    /// Records that the records before `next` were read, the new ones of this size. `era` counts how
    /// often the log service has lost records; `None` if it does not say.
    pub fn record_read(&mut self, next: LogOffset, bytes: usize, era: Option<u64>) {
        self.next = next;
        self.read_bytes += bytes;
        self.has_gap |= era.is_some_and(|era| era > 0) || self.read_bytes > MAX_HISTORY_BYTES;
    }

    /// Records that records are missing, or cannot be understood.
    pub fn record_gap(&mut self) {
        self.has_gap = true;
    }
}
