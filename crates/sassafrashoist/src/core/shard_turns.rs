//! Turns of the tasks that work on one shard.
//!
//! One task at a time replicates a shard, so that the changes of all the tasks that wait go in one
//! message; one task at a time looks for tokens in other data centres.

use std::array;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use sassafrashoist_core::budgets::shard::{SHARD_COUNT, ShardId};

/// How long the result of reading the ledger's end is used again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// The turns of each shard.
#[derive(Debug)]
pub struct ShardTurns {
    replication: [Semaphore; SHARD_COUNT as usize],
    search: [Semaphore; SHARD_COUNT as usize],
    refreshed: Mutex<Option<(Instant, bool)>>,
    /// Wakes the task that keeps the shards.
    pub shard_work: Notify,
}

impl Default for ShardTurns {
    fn default() -> Self {
        Self {
            replication: array::from_fn(|_| Semaphore::new(1)),
            search: array::from_fn(|_| Semaphore::new(1)),
            refreshed: Mutex::new(None),
            shard_work: Notify::new(),
        }
    }
}

impl ShardTurns {
    /// Waits for the turn to replicate a shard.
    pub async fn replicate(&self, shard: ShardId) -> Option<SemaphorePermit<'_>> {
        self.replication.get(usize::from(shard))?.acquire().await.ok()
    }

    /// Returns whether the ledger's end was read, when that was tried just now.
    pub fn recent_refresh(&self) -> Option<bool> {
        let refreshed = *self.refreshed.lock().unwrap_or_else(PoisonError::into_inner);
        refreshed.filter(|(at, _)| at.elapsed() < REFRESH_INTERVAL).map(|(_, is_read)| is_read)
    }

    /// Records whether the ledger's end was read.
    pub fn record_refresh(&self, is_read: bool) {
        let mut refreshed = self.refreshed.lock().unwrap_or_else(PoisonError::into_inner);
        *refreshed = Some((Instant::now(), is_read));
    }

    /// Waits for the turn to look for tokens of a shard's budgets.
    pub async fn search(&self, shard: ShardId) -> Option<SemaphorePermit<'_>> {
        self.search.get(usize::from(shard))?.acquire().await.ok()
    }
}
