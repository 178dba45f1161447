//! Estimates the present load of a backend server from its last report, which is late, and from
//! this router's own requests.
//!
//! A report counts the requests of all routers at the time it was taken. This router's own count at
//! that time is subtracted and its present count is added. The remaining count, of other routers,
//! loses weight with the age of the report and has half its weight when the report is as old as the
//! service time of a request. The rest of the weight goes to the assumption that each other router
//! of the data centre has as many requests on the server as this one, so a server whose reports
//! stop neither attracts nor repels requests.

use std::collections::VecDeque;
use std::time::Duration;

use super::server_view::LoadReport;
use crate::ids::Timestamp;

/// How many past changes of this router's own count are stored.
const MAX_OWN_COUNT_CHANGES: usize = 64;
/// The age from which a report no longer shows whether the server has surplus capacity.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Inputs of a load estimate that do not come from the server itself.
#[derive(Debug, Clone, Copy)]
pub struct EstimateInputs {
    /// The present time.
    pub now: Timestamp,
    /// How long a server works on a request.
    pub service_time: Duration,
    /// How many other routers send to the server.
    pub other_router_count: u32,
}

/// One router's record of the requests on a server.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    own_count: u32,
    own_count_changes: VecDeque<(Timestamp, u32)>,
    reported_others_count: u32,
    taken_at: Timestamp,
}

impl LoadEstimate {
    /// Records that a request of this router has begun.
    pub fn begin(&mut self, now: Timestamp) {
        self.set_own_count(self.own_count + 1, now);
    }

    /// Records that a request of this router has ended.
    pub fn end(&mut self, now: Timestamp) {
        self.set_own_count(self.own_count.saturating_sub(1), now);
    }

    /// Returns the number of requests of this router.
    pub fn own_count(&self) -> u32 {
        self.own_count
    }

    /// Records a report; ignores it and returns false if a newer one has been recorded.
    pub fn record_report(&mut self, report: LoadReport, now: Timestamp) -> bool {
        let taken_at = report.taken_at.min(now);
        if taken_at < self.taken_at {
            return false;
        }
        self.taken_at = taken_at;
        let reported = report.running_count + report.queued_count;
        self.reported_others_count = reported.saturating_sub(self.own_count_at(taken_at));
        true
    }

    /// Returns the number of requests of this router, plus those of other routers in the last
    /// report if it is recent.
    pub fn total_count(&self, now: Timestamp) -> u32 {
        let is_recent = now.saturating_sub(self.taken_at) < MAX_REPORT_AGE;
        self.own_count + if is_recent { self.reported_others_count } else { 0 }
    }

    /// Estimates the present number of requests of all routers, in thousandths of a request.
    pub fn estimated_requests_per_mille(&self, inputs: &EstimateInputs) -> u64 {
        let age = inputs.now.saturating_sub(self.taken_at).as_micros() as u64;
        let half_age = (inputs.service_time.as_micros() as u64).max(1);
        let report_weight_per_mille = 1000 * half_age / (half_age + age);
        let own = u64::from(self.own_count);
        let assumed_others = own * u64::from(inputs.other_router_count);
        let others = u64::from(self.reported_others_count) * report_weight_per_mille;
        own * 1000 + others + assumed_others * (1000 - report_weight_per_mille)
    }

    fn set_own_count(&mut self, own_count: u32, now: Timestamp) {
        self.own_count = own_count;
        self.own_count_changes.push_back((now, own_count));
        if self.own_count_changes.len() > MAX_OWN_COUNT_CHANGES {
            self.own_count_changes.pop_front();
        }
    }

    fn own_count_at(&self, at: Timestamp) -> u32 {
        let last_change =
            self.own_count_changes.iter().rev().find(|(changed_at, _)| *changed_at <= at);
        last_change.map_or_else(
            || {
                if self.own_count_changes.len() < MAX_OWN_COUNT_CHANGES {
                    0
                } else {
                    self.own_count
                }
            },
            |(_, count)| *count,
        )
    }
}
