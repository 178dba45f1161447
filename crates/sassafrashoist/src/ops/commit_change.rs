//! Waits until the backup of a shard has a change.

use std::time::Duration;

use futures::future::join_all;
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout_at};

use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use crate::ops::serve_owner::{ReplicaCall, ReplicaReply};
use sassafrashoist_core::budgets::shard::ShardId;
use sassafrashoist_core::ids::VmId;
use sassafrashoist_core::owner::replica_delta::ReplicaDelta;
use sassafrashoist_core::owner::shard_replica::CommitState;
use sassafrashoist_core::owner::shard_table::ShardChange;

/// How long a change may wait for the backup, or for a view without it.
const COMMIT_BOUND: Duration = Duration::from_millis(4_000);
/// Time between two tries to reach the backup.
const REPLICATE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why a change may not be answered for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CommitError {
    /// This VM does not decide for the budget, or no longer does.
    #[error("this VM does not decide for the budget")]
    NotPrimary,
    /// The backup is out of reach and the log has named no other view.
    #[error("the backup has not confirmed the change")]
    NotConfirmed,
    /// The key is not known, and the entries of earlier keys were lost with their holders.
    #[error("the shard's earlier entries were lost, so the key may have been known")]
    EntriesLost,
}

/// Waits until the backup of a shard has a change, or a view without a backup is in force.
///
/// # Errors
///
/// Fails when another VM has become the primary or the bound has passed.
pub async fn commit_change(
    context: &RouterContext,
    change: ShardChange,
) -> Result<(), CommitError> {
    let deadline = Instant::now() + COMMIT_BOUND;
    loop {
        match read_commit_state(context, change) {
            CommitState::Committed => return Ok(()),
            CommitState::Lost => return Err(CommitError::NotPrimary),
            CommitState::Waiting => {}
        }
        let replicated = timeout_at(deadline, replicate_shard(context, change.shard)).await;
        match replicated {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::debug!(shard = change.shard; "replication is tried again: {error}");
                sleep(REPLICATE_RETRY_DELAY).await;
            }
            Err(_) => return Err(CommitError::NotConfirmed),
        }
        if Instant::now() >= deadline {
            return Err(CommitError::NotConfirmed);
        }
    }
}

/// Sends the backup what it lacks of each shard.
pub async fn replicate_all(context: &RouterContext) {
    let shards: Vec<ShardId> = context.tables.lock_owner().replicas().keys().copied().collect();
    let replications = shards.into_iter().map(|shard| replicate_shard(context, shard));
    for error in join_all(replications).await.into_iter().filter_map(Result::err) {
        log::debug!("replication is tried again: {error}");
    }
}

/// Sends the backup what it lacks of a shard.
async fn replicate_shard(context: &RouterContext, shard: ShardId) -> Result<(), PeerError> {
    let _turn = context.shard_locks.lock_replication(shard).await;
    let Some((backup_vm_id, delta)) = next_delta(context, shard) else {
        return Ok(());
    };
    let epoch = delta.epoch;
    let call = context.peers.request(&ReplicaCall::Delta(Box::new(delta)))?;
    let answer = context.peers.owner_client(&backup_vm_id)?.replicate(call).await;
    if let ReplicaReply::Answer(answer) = decode_response(&backup_vm_id, answer)?
        && let Some(replica) = context.tables.lock_owner().replica_mut(shard)
    {
        replica.apply_backup_response(epoch, answer);
    }
    Ok(())
}

fn next_delta(context: &RouterContext, shard: ShardId) -> Option<(VmId, ReplicaDelta)> {
    let mut owner = context.tables.lock_owner();
    let replica = owner.replica_mut(shard)?;
    let backup_vm_id = replica.backup_vm_id()?.clone();
    Some((backup_vm_id, replica.next_delta()?))
}

fn read_commit_state(context: &RouterContext, change: ShardChange) -> CommitState {
    let owner = context.tables.lock_owner();
    let replica = owner.replica(change.shard);
    replica.map_or(CommitState::Lost, |replica| replica.commit_state(change.change))
}
