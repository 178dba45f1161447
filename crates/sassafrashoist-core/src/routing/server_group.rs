//! The backend servers that can serve one kind of request.

use super::moving_average::MovingAverage;
use super::prefix_index::BlockHash;
use super::sample_set::SampleSet;
use super::server_entry::ServerIndex;
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
    /// Places that are free on them.
    pub free_count: u32,
    /// All servers of the group, in the order of the bundle, which every router shares.
    pub members: Vec<ServerIndex>,
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

    /// Returns the server that every router prefers for prompts with this block, as long as none
    /// is known to cache it.
    pub fn preferred(&self, block: BlockHash) -> Option<ServerIndex> {
        self.members.get(jump_hash(block, self.members.len())).copied()
    }

    /// Returns how many requests a second end while the servers are busy; 0 if that is not known.
    pub fn service_rate(&self) -> f64 {
        match self.service_time.value() {
            Some(time) if !time.is_zero() => f64::from(self.in_flight_count) / time.as_secs_f64(),
            _ => 0.0,
        }
    }
}

/// Maps a hash to one of `count` places; few hashes move when the count changes (Lamping and Veach's
/// jump consistent hash).
fn jump_hash(mut hash: u64, count: usize) -> usize {
    let mut place = 0;
    let mut next = 0;
    while next < count {
        place = next;
        hash = hash.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let scale = (1u64 << 31) as f64 / ((hash >> 33) + 1) as f64;
        next = ((place + 1) as f64 * scale) as usize;
    }
    place
}
