//! Joins the platform's list of VMs, which lags, with what heartbeats show.

use std::collections::BTreeMap;

use crate::core::router_context::RouterContext;
use sassafrashoist_core::ids::VmId;
use sassafrashoist_core::membership::member::ListedAs;
use sassafrashoist_platform::wire::{ListedState, ListedVm};

/// Gives the table of members what the platform's list says.
pub fn join_vm_list(context: &RouterContext, vms: &[ListedVm]) {
    let listed: BTreeMap<VmId, ListedAs> = vms
        .iter()
        .map(|vm| {
            let listed = match vm.state {
                ListedState::Live => ListedAs::Live,
                ListedState::Leaving => ListedAs::Leaving,
            };
            (vm.id.clone(), listed)
        })
        .collect();
    context.tables.lock_membership().join_list(&listed);
}
