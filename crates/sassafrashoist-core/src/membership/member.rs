//! What one VM has recorded about another VM.

use serde::{Deserialize, Serialize};

use super::flap_damping::FlapDamping;
use super::heartbeat::ActiveBundleId;
use super::member_state::MemberState;
use super::member_update::MemberUpdate;
use crate::ids::{BundleVersion, DataCentreId, Incarnation, Timestamp, VmId};

/// The state of a VM in the platform's list, which lags behind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformListing {
    /// The VM was never on the list.
    #[default]
    Never,
    /// The VM is live.
    Live,
    /// The VM is being taken out of service.
    Leaving,
    /// The VM was on the list and no longer is.
    Removed,
}

/// What one VM has recorded about another VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// The update with the highest precedence that this VM received or made.
    pub update: MemberUpdate,
    /// When the state or incarnation last changed; a pause of this VM resets it.
    pub changed_at: Timestamp,
    /// Its state in the platform's list.
    pub listed: PlatformListing,
    /// Whether it responded to the last heartbeat that this VM sent to it.
    pub is_reachable: bool,
    /// Its flap damping.
    pub damping: FlapDamping,
    /// The active bundle that it last reported.
    pub bundle: ActiveBundleId,
    /// How many more times the update is sent with priority.
    pub sends_left: u32,
}

impl Member {
    /// Creates a member from which no update was received yet.
    pub fn new(vm_id: VmId, data_centre_id: DataCentreId, now: Timestamp) -> Self {
        let update = MemberUpdate {
            vm_id,
            data_centre_id,
            incarnation: 0,
            revision: 0,
            state: MemberState::Alive,
        };
        Self {
            update,
            changed_at: now,
            listed: PlatformListing::default(),
            is_reachable: false,
            damping: FlapDamping::default(),
            bundle: ActiveBundleId::default(),
            sends_left: 0,
        }
    }

    /// Returns the state, combined with the platform's list.
    pub fn state(&self) -> MemberState {
        match (self.update.state, self.listed) {
            (MemberState::Alive, PlatformListing::Leaving) => MemberState::Leaving,
            (state, _) => state,
        }
    }

    /// Returns whether the VM may be given a role.
    pub fn is_eligible(&self) -> bool {
        self.state() == MemberState::Alive
            && self.update.incarnation > 0
            && !self.damping.is_damped()
    }

    /// Returns the member as it appears in state dumps.
    pub fn view(&self) -> MemberView {
        MemberView {
            vm_id: self.update.vm_id.clone(),
            data_centre_id: self.update.data_centre_id.clone(),
            incarnation: self.update.incarnation,
            state: self.state(),
            listed: self.listed,
            is_reachable: self.is_reachable,
            is_damped: self.damping.is_damped(),
            bundle_version: self.bundle.version,
        }
    }
}

/// A member in a state dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its incarnation, 0 while none is known.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// Its state in the platform's list.
    pub listed: PlatformListing,
    /// Whether it responded to the last heartbeat sent to it.
    pub is_reachable: bool,
    /// Whether it is given no role because it flaps.
    pub is_damped: bool,
    /// The version of the active bundle that it last reported.
    pub bundle_version: BundleVersion,
}
