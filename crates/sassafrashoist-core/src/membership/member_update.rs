//! What one VM tells another about a third.

use serde::{Deserialize, Serialize};

use super::member_state::MemberState;
use crate::ids::{DataCentreId, Incarnation, VmId};

/// What one VM tells another about a third.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How often this incarnation has spoken for itself; only the VM itself counts it up.
    pub statement: u32,
    /// Its state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns whether this update replaces another about the same VM.
    ///
    /// A newer incarnation wins, then gone, then the newer statement, then the later state. The
    /// order is total, so the update that is kept does not depend on the order of arrival.
    pub fn replaces(&self, other: &MemberUpdate) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (Incarnation, bool, u32, MemberState) {
        (self.incarnation, self.state == MemberState::Gone, self.statement, self.state)
    }
}
