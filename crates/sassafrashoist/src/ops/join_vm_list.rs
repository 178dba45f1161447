//! Joins the platform's list of VMs, which lags, with what heartbeats show.

use std::collections::BTreeMap;

use crate::core::router_context::RouterContext;
use sassafrashoist_core::ids::VmId;
use sassafrashoist_core::membership::member::PlatformListing;
use sassafrashoist_platform::wire::{ListedState, ListedVm};

/// Gives the table of members what the platform's list says.
pub fn join_vm_list(context: &RouterContext, vms: &[ListedVm]) {
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
