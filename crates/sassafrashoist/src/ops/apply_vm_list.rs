//! Applies the platform's VM list, which lags behind heartbeats, to the membership table.

use std::collections::BTreeMap;

use crate::core::router_context::RouterContext;
use sassafrashoist_core::ids::VmId;
use sassafrashoist_core::membership::member::PlatformListing;
use sassafrashoist_platform::wire::{ListedState, ListedVm};

/// Applies the platform's VM list to the membership table.
pub fn apply_vm_list(context: &RouterContext, vms: &[ListedVm]) {
    let listed: BTreeMap<VmId, PlatformListing> = vms
        .iter()
        .map(|vm| {
            let listed = match vm.state {
                ListedState::Live => PlatformListing::Live,
                ListedState::Leaving => PlatformListing::Leaving,
            };
            (vm.id.clone(), listed)
        })
        .collect();
    context.tables.lock_membership().apply_platform_list(&listed);
}
