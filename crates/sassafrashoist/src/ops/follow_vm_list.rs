//! Polls the platform's VM list and applies it to the membership and routing tables.

use std::sync::Arc;
use std::time::Duration;

use crate::core::clock::read_clock;
use crate::core::router_context::RouterContext;
use crate::ops::apply_vm_list::apply_vm_list;
use sassafrashoist_platform::wire::ListedState;

/// Time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the list until the process stops.
pub async fn follow_vm_list(context: Arc<RouterContext>) {
    while !context.cancel.is_cancelled() {
        match context.platform.list_vms().await {
            Ok(vms) => {
                apply_vm_list(&context, &vms);
                let now = read_clock();
                let mut routing = context.tables.lock_routing();
                for vm in vms.iter().filter(|vm| vm.state == ListedState::Leaving) {
                    routing.record_leaving(&vm.id, now);
                }
            }
            Err(error) => log::debug!("failed to read the VM list: {error}"),
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}
