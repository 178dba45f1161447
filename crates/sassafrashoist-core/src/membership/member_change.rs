//! A change of a member's state, and why it came about.

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
    /// Why.
    pub reason: ChangeReason,
}

/// Why a member's state changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// Another VM said so.
    Told,
    /// It did not answer this VM or those that this VM asked.
    NoAnswer,
    /// It was suspect for too long.
    SuspectTooLong,
    /// The platform's list dropped it while it was suspect.
    Unlisted,
    /// This VM was declared gone.
    DeclaredGone,
    /// This VM was paused for so long that it may have been declared gone.
    Paused,
}
