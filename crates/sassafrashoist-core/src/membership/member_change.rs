//! A change of a member's state and its reason.

use super::member_state::MemberState;
use crate::ids::{Incarnation, VmId};

/// A change of a member's state, for the decision log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The VM.
    pub vm_id: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its new state.
    pub state: MemberState,
    /// The reason of the change.
    pub reason: ChangeReason,
}

/// Why a member's state changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// An update from another VM, or from the member itself, changed it.
    Told,
    /// It responded neither to this VM nor to the VMs that this VM asked to probe it.
    NoAnswer,
    /// It was suspect for longer than the suspect timeout.
    SuspectTooLong,
    /// It was suspect for longer than the suspect timeout and the platform's list dropped it.
    Unlisted,
    /// This VM was declared gone.
    DeclaredGone,
    /// This VM was paused for so long that it may have been declared gone.
    Paused,
}
