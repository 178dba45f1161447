//! Views: the primary and backup VM of a shard in a data centre.

use serde::{Deserialize, Serialize};

use super::shard::ShardLocation;
use crate::ids::{Epoch, Incarnation, VmId};

/// The assignment of a shard in a data centre to its primary and backup VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The data centre and shard.
    #[serde(rename = "place")]
    pub location: ShardLocation,
    /// Increases by 1 with each view of this location; the first is 1.
    pub epoch: Epoch,
    /// The VM that makes the decisions for the shard.
    pub primary_vm_id: VmId,
    /// The incarnation of the primary; another incarnation of the VM has lost the state and is not
    /// the primary.
    pub primary_incarnation: Incarnation,
    /// The VM that must have a copy of each change before the primary returns its result.
    pub backup_vm_id: Option<VmId>,
    /// Whether the primary starts without the state of the previous view; tokens that were drawn
    /// before and not reported as used or transferred are stranded.
    pub is_fresh: bool,
}

impl View {
    /// Returns whether a VM is the primary or backup of the view.
    pub fn has_member(&self, vm_id: &str) -> bool {
        self.primary_vm_id == vm_id || self.backup_vm_id.as_deref() == Some(vm_id)
    }
}
