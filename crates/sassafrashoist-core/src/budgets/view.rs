//! Views: which VMs hold a shard of a data centre.

use serde::{Deserialize, Serialize};

use super::shard::ShardPlace;
use crate::ids::{Epoch, Incarnation, VmId};

/// Which VMs hold a shard of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The data centre and shard.
    pub place: ShardPlace,
    /// Grows by 1 with each view of the place; the first is 1.
    pub epoch: Epoch,
    /// The VM that decides.
    pub primary_vm_id: VmId,
    /// The incarnation of the primary; another one has lost its memory and is not the primary.
    pub primary_incarnation: Incarnation,
    /// The VM that has a copy before the primary answers.
    pub backup_vm_id: Option<VmId>,
    /// Whether the primary starts without the state of the view before; what that view had drawn
    /// and not reported is stranded.
    pub is_fresh: bool,
}

impl View {
    /// Returns whether a VM is named by the view.
    pub fn has_member(&self, vm_id: &str) -> bool {
        self.primary_vm_id == vm_id || self.backup_vm_id.as_deref() == Some(vm_id)
    }
}
