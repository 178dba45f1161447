//! The backend servers that can serve one kind of request.

use std::time::Duration;

use super::moving_average::MovingAverage;
use super::sample_set::SampleSet;
use crate::ids::{ModelId, PoolId};

/// The largest part of a group that may be ejected, as a divisor.
const MAX_EJECTED_DIVISOR: usize = 2;

/// Names a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupKey {
    /// The pool.
    pub pool_id: PoolId,
    /// The model that is loaded; none for a plain service.
    pub model_id: Option<ModelId>,
    /// Whether the servers are in the router's own data centre.
    pub is_local: bool,
}

/// The backend servers that can serve one kind of request.
#[derive(Debug, Default)]
pub struct ServerGroup {
    /// Servers that may take one more request.
    pub available: SampleSet,
    /// Servers that are not leaving.
    pub member_count: usize,
    /// Servers whose breaker is not closed.
    pub ejected_count: usize,
    /// Requests of this router in progress.
    pub in_flight_count: u32,
    /// How long requests take on their server.
    pub service_time: MovingAverage,
    /// Counts choices, for the policy that takes servers in turn.
    pub turn: u64,
}

impl ServerGroup {
    /// Returns whether the cap on ejections leaves room for one more.
    pub fn may_eject(&self) -> bool {
        self.ejected_count < self.member_count / MAX_EJECTED_DIVISOR
    }

    /// Estimates when a request with `ahead_count` others before it is sent.
    pub fn estimate_wait(&self, ahead_count: usize) -> Duration {
        let service_time = self.service_time.value().unwrap_or_default();
        service_time * (ahead_count as u32 + 1) / self.in_flight_count.max(1)
    }
}
