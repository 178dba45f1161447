//! Which VMs draw tokens from the ledger.
//!
//! In a small fleet every VM does. In a large one a few VMs of each data centre do, and the others
//! ask them: what many VMs hold in advance of their own use is more than what a few hold for all,
//! and appends of many VMs get in each other's way. All VMs pick the same from the ledger.

use std::collections::BTreeMap;

use super::holder_role::HolderRole;
use super::token_ledger::TokenLedger;
use crate::ids::VmId;
use crate::rendezvous::rank_owners;

/// The most VMs of a fleet in which every VM draws.
const MAX_SMALL_FLEET: usize = 16;
/// VMs that draw in each data centre of a large fleet: one may be down and one stopping.
const BANKS_PER_DATA_CENTRE: usize = 3;
/// What VMs are ranked by; any constant does.
const RANK_KEY: &str = "token banks";

/// The VMs that draw tokens from the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TokenBanks {
    vm_ids: Vec<VmId>,
    is_small_fleet: bool,
}

impl TokenBanks {
    /// Picks the VMs from the runs that live according to the ledger.
    pub fn pick(ledger: &TokenLedger) -> Self {
        let mut by_data_centre: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (_, record) in ledger.live_holders() {
            by_data_centre.entry(&record.data_centre_id).or_default().push(&record.vm_id);
        }
        let vm_count: usize = by_data_centre.values().map(Vec::len).sum();
        let is_small_fleet = vm_count <= MAX_SMALL_FLEET;
        let limit = if is_small_fleet { MAX_SMALL_FLEET } else { BANKS_PER_DATA_CENTRE };
        let ranked = by_data_centre.into_values().flat_map(|vm_ids| {
            let ranked = rank_owners(RANK_KEY, vm_ids);
            ranked.into_iter().take(limit).map(str::to_owned).collect::<Vec<_>>()
        });
        Self { vm_ids: ranked.collect(), is_small_fleet }
    }

    /// Returns whether a VM draws; in a small fleet also one that the ledger does not know yet.
    pub fn contains(&self, vm_id: &str) -> bool {
        self.is_small_fleet || self.vm_ids.iter().any(|bank| bank == vm_id)
    }

    /// Returns whether every VM draws.
    pub fn is_every_vm(&self) -> bool {
        self.is_small_fleet
    }

    /// Returns the role of a VM.
    pub fn role(&self, vm_id: &str) -> HolderRole {
        if self.is_small_fleet {
            HolderRole::Equal
        } else if self.contains(vm_id) {
            HolderRole::Bank
        } else {
            HolderRole::Asking
        }
    }

    /// Returns the number of VMs that draw.
    pub fn count(&self) -> usize {
        self.vm_ids.len()
    }
}
