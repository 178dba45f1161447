//! The messages that VMs exchange in each round.

use serde::{Deserialize, Serialize};

use super::member_update::MemberUpdate;
use crate::ids::{BundleVersion, VmId};

/// Identifies the active bundle of a VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveBundleId {
    /// The version, 0 for none.
    pub version: BundleVersion,
    /// The digest, empty for none.
    pub digest_sha256: String,
}

/// A heartbeat: what its sender reports of itself and of other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's update about itself.
    pub sender: MemberUpdate,
    /// The sender's updates about the receiver and some other VMs.
    pub updates: Vec<MemberUpdate>,
    /// The active bundle of the sender.
    pub bundle: ActiveBundleId,
}

/// The request of `Fleet.Heartbeat`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatRequest {
    /// Exchanges heartbeats.
    Exchange(Heartbeat),
    /// Asks the receiver to exchange heartbeats with a VM that the sender cannot reach.
    Probe(VmId),
}

/// The response of `Fleet.Heartbeat`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatResponse {
    /// The receiver's heartbeat.
    Exchanged(Heartbeat),
    /// Whether the VM responded to the receiver of the probe.
    Probed(bool),
}
