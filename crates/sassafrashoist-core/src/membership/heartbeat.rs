//! The message that VMs exchange in each round.

use serde::{Deserialize, Serialize};

use super::member_update::MemberUpdate;
use crate::ids::{BundleVersion, VmId};

/// The bundle that a VM has in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleInForce {
    /// Its version, 0 for none.
    pub version: BundleVersion,
    /// Its digest, empty for none.
    pub digest_sha256: String,
}

/// The message that VMs exchange in each round.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// What the sender says of itself.
    pub sender: MemberUpdate,
    /// What the sender knows of the receiver and of some others.
    pub updates: Vec<MemberUpdate>,
    /// The bundle that the sender has in force.
    pub bundle: BundleInForce,
}

/// A call of `Fleet.Heartbeat`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatCall {
    /// Exchanges heartbeats.
    Exchange(Heartbeat),
    /// Asks the receiver to exchange heartbeats with a VM that the sender cannot reach.
    Probe(VmId),
}

/// The answer of `Fleet.Heartbeat`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatAnswer {
    /// The receiver's heartbeat.
    Exchanged(Heartbeat),
    /// Whether the VM answered the receiver.
    Probed(bool),
}
