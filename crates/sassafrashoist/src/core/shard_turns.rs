//! Turns of the tasks that work on one shard.
//!
//! One task at a time replicates a shard, so that the changes of all the tasks that wait go in one
//! message; one task at a time looks for tokens in other data centres.

use std::array;

use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use sassafrashoist_core::budgets::shard::{SHARD_COUNT, ShardId};

/// The turns of each shard.
#[derive(Debug)]
pub struct ShardTurns {
    replication: [Semaphore; SHARD_COUNT as usize],
    search: [Semaphore; SHARD_COUNT as usize],
    /// Wakes the task that keeps the shards.
    pub shard_work: Notify,
}

impl Default for ShardTurns {
    fn default() -> Self {
        Self {
            replication: array::from_fn(|_| Semaphore::new(1)),
            search: array::from_fn(|_| Semaphore::new(1)),
            shard_work: Notify::new(),
        }
    }
}

impl ShardTurns {
    /// Waits for the turn to replicate a shard.
    pub async fn replicate(&self, shard: ShardId) -> Option<SemaphorePermit<'_>> {
        self.replication.get(usize::from(shard))?.acquire().await.ok()
    }

    /// Waits for the turn to look for tokens of a shard's budgets.
    pub async fn search(&self, shard: ShardId) -> Option<SemaphorePermit<'_>> {
        self.search.get(usize::from(shard))?.acquire().await.ok()
    }
}
