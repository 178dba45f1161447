//! What a VM knows of one other VM.

use serde::{Deserialize, Serialize};

use super::flap_damping::FlapDamping;
use super::heartbeat::BundleInForce;
use super::member_state::MemberState;
use super::member_update::MemberUpdate;
use crate::ids::{BundleVersion, DataCentreId, Incarnation, Timestamp, VmId};

/// What the platform's list says of a VM; the list lags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedAs {
    /// It was never on the list.
    #[default]
    Never,
    /// It is live.
    Live,
    /// It is being taken out of service.
    Leaving,
    /// It was on the list and no longer is.
    Removed,
}

/// What a VM knows of one other VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// The greatest update.
    pub update: MemberUpdate,
    /// When the state last changed.
    pub changed_at: Timestamp,
    /// What the platform's list says.
    pub listed: ListedAs,
    /// Whether the last heartbeat that this VM sent to it was answered.
    pub is_reachable: bool,
    /// Its penalty for coming and going.
    pub damping: FlapDamping,
    /// The bundle that it last said it has in force.
    pub bundle: BundleInForce,
    /// How often the update is still to be passed on.
    pub sends_left: u32,
}

impl Member {
    /// Creates a member of whom nothing was heard.
    pub fn new(vm_id: VmId, data_centre_id: DataCentreId, now: Timestamp) -> Self {
        let update = MemberUpdate {
            vm_id,
            data_centre_id,
            incarnation: 0,
            statement: 0,
            state: MemberState::Alive,
        };
        Self {
            update,
            changed_at: now,
            listed: ListedAs::default(),
            is_reachable: false,
            damping: FlapDamping::default(),
            bundle: BundleInForce::default(),
            sends_left: 0,
        }
    }

    /// Returns the state, joined with the platform's list.
    pub fn state(&self) -> MemberState {
        match (self.update.state, self.listed) {
            (MemberState::Alive, ListedAs::Leaving) => MemberState::Leaving,
            (state, _) => state,
        }
    }

    /// Returns whether the VM may be given a role.
    pub fn is_eligible(&self) -> bool {
        self.state() == MemberState::Alive
            && self.update.incarnation > 0
            && !self.damping.is_damped()
    }

    /// Describes the member for state dumps.
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
    /// Its incarnation, 0 while nothing was heard of it.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// What the platform's list says.
    pub listed: ListedAs,
    /// Whether the last heartbeat sent to it was answered.
    pub is_reachable: bool,
    /// Whether it comes and goes too often to be given a role.
    pub is_damped: bool,
    /// The bundle version that it last said it has in force.
    pub bundle_version: BundleVersion,
}
