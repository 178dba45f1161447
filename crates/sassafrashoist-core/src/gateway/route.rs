//! A route: which requests it takes, where they go and what may be done with them.

use std::time::Duration;

use crate::ids::{PoolId, RouteId};

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// Its answer is a stream of events, which a second run may continue.
    ResumableStream,
    /// Its answer is a stream of events, and it runs at most once.
    SingleStream,
}

impl Repeatability {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::SingleStream)
    }
}

/// A pool of backend servers and its part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The pool.
    pub pool_id: PoolId,
    /// Its part, relative to the other destinations of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub id: RouteId,
    /// The host that requests name.
    pub host: String,
    /// What their path begins with; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeatability: Repeatability,
    /// The longest time that a request may be kept waiting for its final answer.
    pub timeout: Duration,
    /// The time to an answer, or to the first event of a stream, that callers expect.
    pub target_latency: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Where requests go.
    pub destinations: Vec<Destination>,
    /// The most servers that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Chooses a destination by weight; `draw` is a random number.
    pub fn destination(&self, draw: u64) -> Option<&PoolId> {
        let total: u64 = self.destinations.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = draw % total.max(1);
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if left < weight {
                return Some(&destination.pool_id);
            }
            left -= weight;
        }
        self.destinations.first().map(|destination| &destination.pool_id)
    }
}
