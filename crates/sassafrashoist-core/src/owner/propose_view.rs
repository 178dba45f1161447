//! When a VM proposes a new view of a shard.
//!
//! A proposal on a wrong suspicion costs an epoch and nothing else: the log takes one proposal for
//! each epoch, and a primary that was replaced while it was alive can commit nothing. Only a *fresh*
//! view gives tokens up, so it needs proof: the primary's process has ended and its backup, if there
//! is one, has no copy.

use super::shard_replica::{ReplicaRole, ShardReplica};
use crate::budgets::shard::ShardPlace;
use crate::budgets::view::View;
use crate::ids::{Epoch, Incarnation, VmId};

/// What this VM knows of a VM of its data centre, itself included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerFact {
    /// The VM.
    pub vm_id: VmId,
    /// Whether it answered lately.
    pub is_reachable: bool,
    /// Whether the platform no longer lists it.
    pub is_gone: bool,
    /// The incarnation that answered last.
    pub incarnation: Option<Incarnation>,
    /// The epoch of the shard's state that it said it has, in its last answer.
    pub state_epoch: Option<Epoch>,
}

/// Returns the view to propose, if one is due.
///
/// `ranked` holds the VMs of the data centre in the order in which they should hold the shard.
pub fn propose_view(
    replica: &ShardReplica,
    place: &ShardPlace,
    current: Option<&View>,
    ranked: &[PeerFact],
    own: (&VmId, Incarnation),
) -> Option<View> {
    let next_epoch = current.map_or(1, |view| view.epoch + 1);
    if replica.view_epoch() + 1 != next_epoch {
        return None;
    }
    let propose = |backup_vm_id: Option<VmId>, is_fresh: bool| {
        Some(View {
            place: place.clone(),
            epoch: next_epoch,
            primary_vm_id: own.0.clone(),
            primary_incarnation: own.1,
            backup_vm_id,
            is_fresh,
        })
    };
    let choose_backup = |excluded: Option<&VmId>| {
        let mut candidates = ranked.iter().filter(|fact| fact.is_reachable && fact.vm_id != *own.0);
        candidates.find(|fact| Some(&fact.vm_id) != excluded).map(|fact| fact.vm_id.clone())
    };
    let is_first = ranked.iter().find(|fact| fact.is_reachable).is_some_and(|f| f.vm_id == *own.0);
    let Some(view) = current else {
        return if is_first { propose(choose_backup(None), true) } else { None };
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
            if is_lost && is_first { propose(choose_backup(None), true) } else { None }
        }
    }
}

fn find<'a>(ranked: &'a [PeerFact], vm_id: &str) -> Option<&'a PeerFact> {
    ranked.iter().find(|fact| fact.vm_id == vm_id)
}

fn is_reachable(ranked: &[PeerFact], vm_id: &str) -> bool {
    find(ranked, vm_id).is_some_and(|fact| fact.is_reachable)
}

fn has_ended(ranked: &[PeerFact], vm_id: &str, incarnation: Incarnation) -> bool {
    find(ranked, vm_id).is_some_and(|fact| {
        fact.is_gone || fact.incarnation.is_some_and(|answered| answered > incarnation)
    })
}

fn has_no_state(ranked: &[PeerFact], vm_id: &str, epoch: Epoch) -> bool {
    find(ranked, vm_id).is_some_and(|fact| {
        fact.is_gone || (fact.is_reachable && fact.state_epoch.unwrap_or(0) < epoch)
    })
}
