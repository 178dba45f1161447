//! A route: which requests it matches, which pools they go to, and whether they may be retried.

use std::time::Duration;

use crate::ids::{PoolId, RouteId};

/// How often a request of a route may run, and whether its response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The response is a stream of events, which a second run may continue.
    ResumableStream,
    /// The response is a stream of events, and the request may run at most once.
    AtMostOnceStream,
}

impl Repeatability {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::AtMostOnceStream)
    }
}

/// A pool of backend servers and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The pool.
    pub pool_id: PoolId,
    /// The weight of the pool, relative to the other destinations of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name of the route.
    pub id: RouteId,
    /// The host that requests must name, in any case and with any port.
    pub host: String,
    /// The prefix of the request path; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeatability: Repeatability,
    /// The maximum time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// The expected time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// The priority of requests; 0 is the most urgent.
    pub priority: u8,
    /// The pools that requests are distributed to.
    pub destinations: Vec<Destination>,
    /// The maximum number of servers that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Chooses the pool for a request, in proportion to the weights.
    pub fn choose_pool(&self, random: u64) -> Option<&PoolId> {
        let total_weight: u64 =
            self.destinations.iter().map(|destination| u64::from(destination.weight)).sum();
        let mut remaining = random % total_weight.max(1);
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if remaining < weight {
                return Some(&destination.pool_id);
            }
            remaining -= weight;
        }
        self.destinations.first().map(|destination| &destination.pool_id)
    }
}
