//! A statement about the state of one VM, exchanged between VMs.

use serde::{Deserialize, Serialize};

use super::member_state::MemberState;
use crate::ids::{DataCentreId, Incarnation, VmId};

/// A statement about the state of one VM, exchanged between VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The revision of this incarnation's statements about itself; only the VM itself increments
    /// it.
    #[serde(rename = "statement")]
    pub revision: u32,
    /// Its state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns whether this update replaces another about the same VM.
    ///
    /// A newer incarnation wins, then the state gone, then a newer revision, then the later state.
    /// The order is total, so the update that is kept does not depend on the order of arrival.
    pub fn replaces(&self, other: &MemberUpdate) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (Incarnation, bool, u32, MemberState) {
        (self.incarnation, self.state == MemberState::Gone, self.revision, self.state)
    }
}
