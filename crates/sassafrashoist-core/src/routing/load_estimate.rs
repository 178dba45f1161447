//! The load of a backend server now, from its late report and this router's own requests.
//!
//! A report counts the requests of all routers at the time it was taken. Those of this router are
//! taken out as they were then and put back as they are now. The share of other routers is believed
//! half when the report is as old as a request takes, and less after. What is not believed is
//! replaced by the assumption that the other routers of the data centre send as this one does, so a
//! report that stops coming neither attracts nor repels.

use std::collections::VecDeque;
use std::time::Duration;

use super::server_view::LoadReport;
use crate::ids::Timestamp;

/// Changes of the own count that are remembered.
const MAX_CHANGES: usize = 64;
/// The age from which a report says nothing of spare capacity.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// What an estimate rests on besides the server itself.
#[derive(Debug, Clone, Copy)]
pub struct EstimateBasis {
    /// The time.
    pub now: Timestamp,
    /// How long a request takes.
    pub service_time: Duration,
    /// The other routers that send to the server.
    pub other_router_count: u32,
}

/// What one router knows of the requests on a server.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    own_count: u32,
    changes: VecDeque<(Timestamp, u32)>,
    others_count: u32,
    taken_at: Timestamp,
}

impl LoadEstimate {
    /// Counts a request of this router as begun.
    pub fn begin(&mut self, now: Timestamp) {
        self.set_own(self.own_count + 1, now);
    }

    /// Counts a request of this router as ended.
    pub fn end(&mut self, now: Timestamp) {
        self.set_own(self.own_count.saturating_sub(1), now);
    }

    /// Returns the requests of this router.
    pub fn own_count(&self) -> u32 {
        self.own_count
    }

    /// Takes a report over unless a newer one is known; false when it is ignored.
    pub fn record_report(&mut self, report: LoadReport, now: Timestamp) -> bool {
        let taken_at = report.taken_at.min(now);
        if taken_at < self.taken_at {
            return false;
        }
        self.taken_at = taken_at;
        let reported = report.running_count + report.queued_count;
        self.others_count = reported.saturating_sub(self.own_count_at(taken_at));
        true
    }

    /// Returns the requests of this router and those of others in the last report that is not too
    /// old.
    pub fn reported_count(&self, now: Timestamp) -> u32 {
        let is_recent = now.saturating_sub(self.taken_at) < MAX_REPORT_AGE;
        self.own_count + if is_recent { self.others_count } else { 0 }
    }

    /// Estimates all requests on the server now, in thousandths of a request.
    pub fn expected_per_mille(&self, basis: &EstimateBasis) -> u64 {
        let age = basis.now.saturating_sub(self.taken_at).as_micros() as u64;
        let half_age = (basis.service_time.as_micros() as u64).max(1);
        let belief_per_mille = 1000 * half_age / (half_age + age);
        let own = u64::from(self.own_count);
        let alike = own * u64::from(basis.other_router_count);
        let others = u64::from(self.others_count) * belief_per_mille;
        own * 1000 + others + alike * (1000 - belief_per_mille)
    }

    fn set_own(&mut self, own_count: u32, now: Timestamp) {
        self.own_count = own_count;
        self.changes.push_back((now, own_count));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    fn own_count_at(&self, at: Timestamp) -> u32 {
        let before = self.changes.iter().rev().find(|(changed_at, _)| *changed_at <= at);
        before.map_or_else(
            || if self.changes.len() < MAX_CHANGES { 0 } else { self.own_count },
            |(_, count)| *count,
        )
    }
}
