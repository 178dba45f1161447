//! The backend servers that can serve one kind of request.

use super::moving_average::MovingAverage;
use super::prefix_index::BlockHash;
use super::sample_set::SampleSet;
use super::server_entry::ServerIndex;
use crate::ids::{ModelId, PoolId};

/// At most one in this many servers of a group may be ejected.
const MAX_EJECTED_DIVISOR: usize = 2;

/// The key of a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupKey {
    /// The pool.
    pub pool_id: PoolId,
    /// The model that its servers have loaded; none for the group of the whole pool.
    pub model_id: Option<ModelId>,
    /// Whether the servers are in the router's own data centre.
    pub is_local: bool,
}

/// The backend servers that can serve one kind of request.
#[derive(Debug, Default)]
pub struct ServerGroup {
    /// Servers that may take one more request.
    pub available: SampleSet,
    /// Total of the slots on them that this router may still use.
    pub free_slot_count: u32,
    /// All servers of the group in the order of the bundle, which is the same on every router.
    pub members: Vec<ServerIndex>,
    /// Number of servers that are not leaving.
    pub member_count: usize,
    /// Number of servers that are not leaving and whose breaker is not closed.
    pub ejected_count: usize,
    /// Number of this router's requests in progress on the group's servers.
    pub in_flight_count: u32,
    /// Average time that a server works on a request.
    pub service_time: MovingAverage,
    /// Number of servers chosen so far, which is the position of the round-robin policy.
    pub round_robin_position: u64,
}

impl ServerGroup {
    /// Returns whether one more server may be ejected.
    pub fn may_eject(&self) -> bool {
        self.ejected_count < self.member_count / MAX_EJECTED_DIVISOR
    }

    /// Returns the server that every router prefers for prompts with this block, as long as none
    /// is recorded as caching it.
    pub fn preferred_server(&self, block: BlockHash) -> Option<ServerIndex> {
        self.members.get(jump_hash(block, self.members.len())).copied()
    }

    /// Returns how many of this router's requests end per second while the servers are busy, by
    /// Little's law; 0 before a service time has been measured.
    pub fn service_rate(&self) -> f64 {
        match self.service_time.value() {
            Some(time) if !time.is_zero() => f64::from(self.in_flight_count) / time.as_secs_f64(),
            _ => 0.0,
        }
    }
}

/// Maps a hash to one of `count` buckets by Lamping and Veach's jump consistent hash, so that few
/// hashes move when the count changes.
fn jump_hash(mut hash: u64, count: usize) -> usize {
    let mut bucket = 0;
    let mut next = 0;
    while next < count {
        bucket = next;
        hash = hash.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let scale = (1u64 << 31) as f64 / ((hash >> 33) + 1) as f64;
        next = ((bucket + 1) as f64 * scale) as usize;
    }
    bucket
}
