//! Locks for the tasks that work on the same shard.
//!
//! One task at a time replicates a shard, so that the changes of all waiting tasks are sent in one
//! message. One task at a time requests tokens for a shard from other data centres.

use std::array;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use sassafrashoist_core::budgets::shard::{SHARD_COUNT, ShardId};

/// How long the result of a ledger refresh is reused.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// The locks of each shard, and the shared result of the last ledger refresh.
#[derive(Debug)]
pub struct ShardLocks {
    replication: [Semaphore; SHARD_COUNT as usize],
    token_search: [Semaphore; SHARD_COUNT as usize],
    last_refresh: Mutex<Option<(Instant, bool)>>,
    /// Wakes the task that maintains the shards.
    pub maintenance_needed: Notify,
}

impl Default for ShardLocks {
    fn default() -> Self {
        Self {
            replication: array::from_fn(|_| Semaphore::new(1)),
            token_search: array::from_fn(|_| Semaphore::new(1)),
            last_refresh: Mutex::new(None),
            maintenance_needed: Notify::new(),
        }
    }
}

impl ShardLocks {
    /// Waits for the replication lock of a shard.
    pub async fn lock_replication(&self, shard: ShardId) -> Option<SemaphorePermit<'_>> {
        self.replication.get(usize::from(shard))?.acquire().await.ok()
    }

    /// Returns whether the last ledger refresh succeeded, or `None` if it is not recent.
    pub fn recent_refresh(&self) -> Option<bool> {
        let last_refresh = *self.last_refresh.lock().unwrap_or_else(PoisonError::into_inner);
        last_refresh
            .filter(|(at, _)| at.elapsed() < REFRESH_INTERVAL)
            .map(|(_, has_succeeded)| has_succeeded)
    }

    /// Records whether a ledger refresh succeeded.
    pub fn record_refresh(&self, has_succeeded: bool) {
        let mut last_refresh = self.last_refresh.lock().unwrap_or_else(PoisonError::into_inner);
        *last_refresh = Some((Instant::now(), has_succeeded));
    }

    /// Waits for the token search lock of a shard. Only the task that holds it may request tokens
    /// for the shard's budgets from other data centres.
    pub async fn lock_search(&self, shard: ShardId) -> Option<SemaphorePermit<'_>> {
        self.token_search.get(usize::from(shard))?.acquire().await.ok()
    }
}
