//! Limits how many requests of each pool this VM may retry.
//!
//! The platform limits the sum of the retries of all VMs in any window. Each VM stays within its
//! share without messages: retries in proportion to the requests that it received itself, plus an
//! equal share of the slack. A request counts only while it is younger than the window, so the
//! limit is never computed from more requests than the platform counts.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::Uptime;
use crate::ids::PoolId;

/// The fraction of the limit that is used, because the windows of the VMs start at different times.
const USED_FRACTION: f64 = 0.8;

/// The limit on retries to a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed to this VM in addition, independent of the number of requests.
    pub slack: f64,
    /// The length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct PoolHistory {
    requests: VecDeque<Uptime>,
    retries: VecDeque<Uptime>,
}

/// Counts the requests and the retries of each pool in a sliding window.
#[derive(Debug, Default)]
pub struct RetryLimiter {
    pools: HashMap<PoolId, PoolHistory>,
}

impl RetryLimiter {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, pool_id: &str, window: Duration, now: Uptime) {
        let history = self.pools.entry(pool_id.to_owned()).or_default();
        remove_before(&mut history.requests, now.saturating_sub(window));
        history.requests.push_back(now);
    }

    /// Counts one retry and returns true, or returns false if the limit is reached.
    #[must_use]
    pub fn try_retry(&mut self, pool_id: &str, limit: &RetryLimit, now: Uptime) -> bool {
        let history = self.pools.entry(pool_id.to_owned()).or_default();
        let window_start = now.saturating_sub(limit.window);
        remove_before(&mut history.requests, window_start);
        remove_before(&mut history.retries, window_start);
        let allowed = USED_FRACTION * (limit.ratio * history.requests.len() as f64 + limit.slack);
        if (history.retries.len() + 1) as f64 > allowed {
            return false;
        }
        history.retries.push_back(now);
        true
    }
}

fn remove_before(times: &mut VecDeque<Uptime>, start: Uptime) {
    while times.front().is_some_and(|at| *at < start) {
        times.pop_front();
    }
}
