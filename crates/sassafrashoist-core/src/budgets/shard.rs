//! Shards: the fixed groups of budgets that are owned and replicated together.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::DataCentreId;

/// The number of a shard, from 0 to `SHARD_COUNT - 1`.
pub type ShardId = u16;

/// The number of shards; changing it requires a new ledger record version.
pub const SHARD_COUNT: ShardId = 16;

/// A shard in one data centre, which has one primary VM at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardLocation {
    /// The data centre.
    pub data_centre_id: DataCentreId,
    /// The shard's number.
    pub shard: ShardId,
}

/// Returns the shard that a budget belongs to.
pub fn shard_of(budget_id: &str) -> ShardId {
    (xxh3_64(budget_id.as_bytes()) % u64::from(SHARD_COUNT)) as ShardId
}
