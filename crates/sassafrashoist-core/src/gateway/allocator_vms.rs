//! The VMs that draw tokens from the ledger.
//!
//! In a small fleet every VM draws. In a large fleet only a few allocator VMs of each data centre
//! draw, and the other VMs request tokens from them: many VMs that hold tokens ahead of their own
//! use hold more in total than a few that hold tokens for all, and conditional appends of many VMs
//! conflict. All VMs select the same allocators because they select them from the ledger.

use std::collections::BTreeMap;

use super::holder_role::HolderRole;
use super::token_ledger::TokenLedger;
use crate::ids::VmId;
use crate::rendezvous::rank_owners;

/// The most VMs of a fleet in which every VM draws.
const MAX_SMALL_FLEET_VMS: usize = 16;
/// Allocator VMs in each data centre of a large fleet: one may be down and one stopping.
const ALLOCATORS_PER_DATA_CENTRE: usize = 3;
/// The key of the rendezvous hash that ranks VMs; all VMs must use the same.
const RANK_KEY: &str = "token banks";

/// The VMs that draw tokens from the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllocatorVms {
    vm_ids: Vec<VmId>,
    is_small_fleet: bool,
}

impl AllocatorVms {
    /// Selects the allocators among the VMs whose newest record in the ledger is not closed.
    pub fn select(ledger: &TokenLedger) -> Self {
        let mut by_data_centre: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (_, record) in ledger.live_holders() {
            by_data_centre.entry(&record.data_centre_id).or_default().push(&record.vm_id);
        }
        let vm_count: usize = by_data_centre.values().map(Vec::len).sum();
        let is_small_fleet = vm_count <= MAX_SMALL_FLEET_VMS;
        let limit = if is_small_fleet { MAX_SMALL_FLEET_VMS } else { ALLOCATORS_PER_DATA_CENTRE };
        let ranked = by_data_centre.into_values().flat_map(|vm_ids| {
            let ranked = rank_owners(RANK_KEY, vm_ids);
            ranked.into_iter().take(limit).map(str::to_owned).collect::<Vec<_>>()
        });
        Self { vm_ids: ranked.collect(), is_small_fleet }
    }

    /// Returns whether a VM draws. In a small fleet this includes VMs without a record in the
    /// ledger.
    pub fn contains(&self, vm_id: &str) -> bool {
        self.is_small_fleet || self.vm_ids.iter().any(|allocator| allocator == vm_id)
    }

    /// Returns whether every VM draws.
    pub fn includes_every_vm(&self) -> bool {
        self.is_small_fleet
    }

    /// Returns the role of a VM.
    pub fn role(&self, vm_id: &str) -> HolderRole {
        if self.is_small_fleet {
            HolderRole::DrawsForItself
        } else if self.contains(vm_id) {
            HolderRole::DrawsForOthers
        } else {
            HolderRole::RequestsTokens
        }
    }

    /// Returns the number of VMs in the ledger that draw.
    pub fn count(&self) -> usize {
        self.vm_ids.len()
    }
}
