//! How many requests of a pool this VM may send a second time.
//!
//! The bound of the platform holds for the sum over all VMs in any window. Each VM keeps to its
//! part without messages: the ratio of the requests that it saw itself, and an equal part of the
//! slack. Requests count for the allowance while they are younger than a window, which is never
//! more than the platform counts.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::Uptime;
use crate::ids::PoolId;

/// The part of the bound that is used, since VMs see windows that start at other times.
const USED_PART: f64 = 0.8;

/// The bound on repeated sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends besides, of this VM.
    pub slack: f64,
    /// The span in which both are counted.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct PoolSends {
    requests: VecDeque<Uptime>,
    repeats: VecDeque<Uptime>,
}

/// Counts the requests and the repeated sends of each pool.
#[derive(Debug, Default)]
pub struct RetryAllowance {
    pools: HashMap<PoolId, PoolSends>,
}

impl RetryAllowance {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, pool_id: &str, window: Duration, now: Uptime) {
        let sends = self.pools.entry(pool_id.to_owned()).or_default();
        forget_before(&mut sends.requests, now.saturating_sub(window));
        sends.requests.push_back(now);
    }

    /// Takes one repeated send; false when the bound is reached.
    #[must_use]
    pub fn try_repeat(&mut self, pool_id: &str, bound: &RetryBound, now: Uptime) -> bool {
        let sends = self.pools.entry(pool_id.to_owned()).or_default();
        let window_start = now.saturating_sub(bound.window);
        forget_before(&mut sends.requests, window_start);
        forget_before(&mut sends.repeats, window_start);
        let allowed = USED_PART * (bound.ratio * sends.requests.len() as f64 + bound.slack);
        if (sends.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        sends.repeats.push_back(now);
        true
    }
}

fn forget_before(times: &mut VecDeque<Uptime>, start: Uptime) {
    while times.front().is_some_and(|at| *at < start) {
        times.pop_front();
    }
}
