//! The periods in which the spending limits of this incarnation's records are active.

use std::time::Duration;

use super::Uptime;

/// The period in which the spending limits of one record are active.
#[derive(Debug, Clone, Copy)]
struct LimitPeriod {
    since: Uptime,
    until: Uptime,
}

impl LimitPeriod {
    fn age(self, now: Uptime) -> Option<Duration> {
        (now < self.until).then(|| now.saturating_sub(self.since))
    }
}

/// How long spending limits have been active; `None` for limits that are not active.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LimitAges {
    /// The limits of the last record that is known to be in the log.
    pub(super) committed: Option<Duration>,
    /// The limits of a later record that may be in the log.
    pub(super) pending: Option<Duration>,
}

/// The periods in which the spending limits of the last record in the log, and of a later one that
/// may be in the log, are active.
#[derive(Debug, Default)]
pub(super) struct LimitPeriods {
    committed: Option<LimitPeriod>,
    pending: Option<LimitPeriod>,
}

impl LimitPeriods {
    /// Starts the period of a record that is about to be sent.
    pub(super) fn begin(&mut self, now: Uptime, active_for: Duration) {
        self.pending = Some(LimitPeriod { since: now, until: now + active_for });
    }

    /// Records that the pending record, planned at `since`, is now the last one in the log.
    pub(super) fn commit(&mut self, since: Uptime, active_for: Duration) {
        self.committed = Some(LimitPeriod { since, until: since + active_for });
        self.pending = None;
    }

    /// Drops the period of the pending record.
    pub(super) fn abandon(&mut self) {
        self.pending = None;
    }

    /// Returns how long the limits have been active.
    pub(super) fn ages(&self, now: Uptime) -> LimitAges {
        LimitAges {
            committed: self.committed.and_then(|period| period.age(now)),
            pending: self.pending.and_then(|period| period.age(now)),
        }
    }

    /// Returns the time until no limit is active.
    pub(super) fn time_until_unlimited(&self, now: Uptime) -> Duration {
        let periods = [self.committed, self.pending].into_iter().flatten();
        periods.map(|period| period.until.saturating_sub(now)).max().unwrap_or_default()
    }
}
