//! The count of a connection through another VM.

use std::sync::Arc;

use sassafrashoist_core::ids::VmId;

use super::gateway_context::GatewayContext;

/// A connection through another VM; dropping it frees that VM's share of the load.
#[derive(Debug)]
pub struct RelayUse {
    context: Arc<GatewayContext>,
    vm_id: VmId,
}

impl RelayUse {
    /// Counts a connection that is opened through a VM.
    pub fn begin(context: &Arc<GatewayContext>, vm_id: &VmId) -> Self {
        context.lock_relays().begin(vm_id);
        Self { context: Arc::clone(context), vm_id: vm_id.clone() }
    }

    /// Returns the VM.
    pub fn vm_id(&self) -> &str {
        &self.vm_id
    }
}

impl Drop for RelayUse {
    fn drop(&mut self) {
        self.context.lock_relays().end(&self.vm_id);
    }
}
