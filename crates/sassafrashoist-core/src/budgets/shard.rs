//! Shards: the fixed groups of budgets that are owned and replicated together.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::DataCentreId;

/// Numbers a shard.
pub type ShardId = u16;

/// The number of shards; a change needs a new ledger record version.
pub const SHARD_COUNT: ShardId = 16;

/// The shard of one data centre, which has one primary VM at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardPlace {
    /// The data centre.
    pub data_centre_id: DataCentreId,
    /// The shard.
    pub shard: ShardId,
}

/// Returns the shard of a budget.
pub fn shard_of(budget_id: &str) -> ShardId {
    (xxh3_64(budget_id.as_bytes()) % u64::from(SHARD_COUNT)) as ShardId
}
