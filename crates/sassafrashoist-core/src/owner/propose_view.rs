//! Decides when a VM proposes a new view of a shard.
//!
//! A proposal based on a wrong suspicion only costs an epoch: the ledger accepts one view for each
//! epoch, and a primary that was replaced while it was alive cannot commit any change. Only a
//! *fresh* view strands tokens, so it requires proof that the state is lost: the primary's process
//! has ended, and its backup, if there is one, has no copy.

use super::shard_replica::{ReplicaRole, ShardReplica};
use crate::budgets::shard::ShardLocation;
use crate::budgets::view::View;
use crate::ids::{Epoch, Incarnation, VmId};

/// What this VM has observed of a VM of its data centre, itself included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The VM.
    pub vm_id: VmId,
    /// Whether it responded recently.
    pub is_reachable: bool,
    /// Whether the platform no longer lists it.
    pub is_unlisted: bool,
    /// The incarnation that last responded.
    pub incarnation: Option<Incarnation>,
    /// The epoch of the shard state that it reported in its last response.
    pub state_epoch: Option<Epoch>,
}

/// Returns the view to propose, if a new one is needed.
///
/// `ranked` lists the VMs of the data centre in order of preference for the roles of the shard.
/// `own` identifies this VM.
pub fn propose_view(
    replica: &ShardReplica,
    location: &ShardLocation,
    current: Option<&View>,
    ranked: &[PeerStatus],
    own: (&VmId, Incarnation),
) -> Option<View> {
    let next_epoch = current.map_or(1, |view| view.epoch + 1);
    if replica.view_epoch() + 1 != next_epoch {
        return None;
    }
    let propose = |backup_vm_id: Option<VmId>, is_fresh: bool| {
        Some(View {
            location: location.clone(),
            epoch: next_epoch,
            primary_vm_id: own.0.clone(),
            primary_incarnation: own.1,
            backup_vm_id,
            is_fresh,
        })
    };
    let choose_backup = |excluded: Option<&VmId>| {
        let mut candidates = ranked.iter().filter(|peer| peer.is_reachable && peer.vm_id != *own.0);
        candidates.find(|peer| Some(&peer.vm_id) != excluded).map(|peer| peer.vm_id.clone())
    };
    let is_preferred =
        ranked.iter().find(|peer| peer.is_reachable).is_some_and(|peer| peer.vm_id == *own.0);
    let Some(view) = current else {
        return if is_preferred { propose(choose_backup(None), true) } else { None };
    };
    match replica.role() {
        ReplicaRole::Primary { backup_vm_id: None } => {
            let backup_vm_id = choose_backup(None)?;
            propose(Some(backup_vm_id), false)
        }
        ReplicaRole::Primary { backup_vm_id: Some(backup_vm_id) } => {
            if is_reachable(ranked, backup_vm_id) {
                return None;
            }
            propose(choose_backup(Some(backup_vm_id)), false)
        }
        ReplicaRole::Backup if replica.has_state() => {
            let is_primary_alive = is_reachable(ranked, &view.primary_vm_id)
                && !has_ended(ranked, &view.primary_vm_id, view.primary_incarnation);
            if is_primary_alive {
                return None;
            }
            propose(choose_backup(Some(&view.primary_vm_id)), false)
        }
        _ => {
            let is_lost = has_ended(ranked, &view.primary_vm_id, view.primary_incarnation)
                && view.backup_vm_id.iter().all(|vm_id| has_no_state(ranked, vm_id, view.epoch));
            if is_lost && is_preferred { propose(choose_backup(None), true) } else { None }
        }
    }
}

fn find<'a>(ranked: &'a [PeerStatus], vm_id: &str) -> Option<&'a PeerStatus> {
    ranked.iter().find(|peer| peer.vm_id == vm_id)
}

fn is_reachable(ranked: &[PeerStatus], vm_id: &str) -> bool {
    find(ranked, vm_id).is_some_and(|peer| peer.is_reachable)
}

fn has_ended(ranked: &[PeerStatus], vm_id: &str, incarnation: Incarnation) -> bool {
    find(ranked, vm_id).is_some_and(|peer| {
        peer.is_unlisted || peer.incarnation.is_some_and(|newest| newest > incarnation)
    })
}

fn has_no_state(ranked: &[PeerStatus], vm_id: &str, epoch: Epoch) -> bool {
    find(ranked, vm_id).is_some_and(|peer| {
        peer.is_unlisted || (peer.is_reachable && peer.state_epoch.unwrap_or(0) < epoch)
    })
}
