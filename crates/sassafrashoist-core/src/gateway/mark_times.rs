//! For how long the marks of a run's records have bound it.

use std::time::Duration;

use super::Uptime;

/// The time in which the marks of one record bind.
#[derive(Debug, Clone, Copy)]
struct MarkedTime {
    since: Uptime,
    until: Uptime,
}

impl MarkedTime {
    fn age(self, now: Uptime) -> Option<Duration> {
        (now < self.until).then(|| now.saturating_sub(self.since))
    }
}

/// How long the marks have bound; `None` where they do not.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MarkAges {
    /// The marks of the last record that is known to be in the log.
    pub(super) committed: Option<Duration>,
    /// The marks of a record that may be.
    pub(super) pending: Option<Duration>,
}

/// The times in which the marks of the last record in the log, and of one that may be, bind.
#[derive(Debug, Default)]
pub(super) struct MarkTimes {
    committed: Option<MarkedTime>,
    pending: Option<MarkedTime>,
}

impl MarkTimes {
    /// Begins the time of a record that will be sent.
    pub(super) fn begin(&mut self, now: Uptime, marked_for: Duration) {
        self.pending = Some(MarkedTime { since: now, until: now + marked_for });
    }

    /// Takes over the record, planned at `since`, as the last one in the log.
    pub(super) fn commit(&mut self, since: Uptime, marked_for: Duration) {
        self.committed = Some(MarkedTime { since, until: since + marked_for });
        self.pending = None;
    }

    /// Drops the record that was sent.
    pub(super) fn abandon(&mut self) {
        self.pending = None;
    }

    /// Returns how long the marks have bound.
    pub(super) fn ages(&self, now: Uptime) -> MarkAges {
        MarkAges {
            committed: self.committed.and_then(|time| time.age(now)),
            pending: self.pending.and_then(|time| time.age(now)),
        }
    }

    /// Returns the time until no mark binds.
    pub(super) fn time_to_unmarked(&self, now: Uptime) -> Duration {
        let times = [self.committed, self.pending].into_iter().flatten();
        times.map(|time| time.until.saturating_sub(now)).max().unwrap_or_default()
    }
}
