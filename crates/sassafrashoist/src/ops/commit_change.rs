//! Synchronous replication of a shard's changes from its primary to its backup: a change is
//! committed when the backup has confirmed it, or when a view without a backup is active.

use std::time::Duration;

use futures::future::join_all;
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout_at};

use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use crate::ops::serve_owner::{ReplicaRequest, ReplicaResponse};
use sassafrashoist_core::budgets::shard::ShardId;
use sassafrashoist_core::ids::VmId;
use sassafrashoist_core::owner::replica_delta::ReplicaDelta;
use sassafrashoist_core::owner::shard_replica::CommitState;
use sassafrashoist_core::owner::shard_table::ShardChange;

/// How long a change may wait for the backup to confirm it, or for a view without that backup.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The delay before replication to the backup is retried.
const REPLICATE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why this VM cannot return a decision or an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CommitError {
    /// This VM is not the primary of the budget's shard, or no longer is.
    #[error("this VM is not the primary for the budget")]
    NotPrimary,
    /// The backup cannot be reached, and no view without it became active in time.
    #[error("the backup has not confirmed the change")]
    NotConfirmed,
    /// The key has no entry, but earlier entries of the shard were lost with the VMs that had them.
    #[error("the shard lost earlier entries, so the key may have had one")]
    EntriesLost,
}

/// Replicates a change and waits until the backup has it, or until a view without a backup is
/// active.
///
/// # Errors
///
/// Fails when this replica is no longer the primary, has discarded the change, or the timeout has
/// passed.
pub async fn commit_change(
    context: &RouterContext,
    change: ShardChange,
) -> Result<(), CommitError> {
    let deadline = Instant::now() + COMMIT_TIMEOUT;
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
                log::debug!(shard = change.shard; "failed to replicate, retrying: {error}");
                sleep(REPLICATE_RETRY_DELAY).await;
            }
            Err(_) => return Err(CommitError::NotConfirmed),
        }
        if Instant::now() >= deadline {
            return Err(CommitError::NotConfirmed);
        }
    }
}

/// Sends each shard's backup the changes that it does not have.
pub async fn replicate_all(context: &RouterContext) {
    let shards: Vec<ShardId> = context.tables.lock_owner().replicas().keys().copied().collect();
    let replications = shards.into_iter().map(|shard| replicate_shard(context, shard));
    for error in join_all(replications).await.into_iter().filter_map(Result::err) {
        log::debug!("failed to replicate a shard: {error}");
    }
}

/// Sends a shard's backup the changes that it does not have.
async fn replicate_shard(context: &RouterContext, shard: ShardId) -> Result<(), PeerError> {
    let _replication_lock = context.shard_locks.lock_replication(shard).await;
    let Some((backup_vm_id, delta)) = next_delta(context, shard) else {
        return Ok(());
    };
    let epoch = delta.epoch;
    let peer_request = context.peers.request(&ReplicaRequest::Delta(Box::new(delta)))?;
    let response = context.peers.owner_client(&backup_vm_id)?.replicate(peer_request).await;
    if let ReplicaResponse::Delta(response) = decode_response(&backup_vm_id, response)?
        && let Some(replica) = context.tables.lock_owner().replica_mut(shard)
    {
        replica.apply_backup_response(epoch, response);
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
    replica.map_or(CommitState::Lost, |replica| replica.commit_state(change.number))
}
