//! The part of a VM's state dump from which the fleet's status is joined.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use sassafrashoist_core::ids::{BundleVersion, DataCentreId, Incarnation, LogOffset, VmId};
use sassafrashoist_core::membership::member::MemberView;

/// The part of a VM's state dump from which the fleet's status is joined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetVmState {
    /// The VM.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The step that its start has reached.
    pub readiness: String,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// Requests in progress.
    pub in_flight_count: usize,
    /// The bundle in force, 0 for none.
    pub bundle_version: BundleVersion,
    /// Its digest.
    pub bundle_digest: Option<String>,
    /// The other VMs as it sees them.
    pub members: Vec<MemberView>,
    /// The log streams that it follows.
    pub streams: BTreeMap<String, FollowedStream>,
    /// The counters that must stay 0.
    pub promises: BTreeMap<String, u64>,
}

/// A log stream as one VM follows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowedStream {
    /// The VM that it reads from; none for the platform.
    pub reader_vm_id: Option<VmId>,
    /// The offset of the next record to read.
    pub next_offset: LogOffset,
    /// Records that the log held and it had not read yet.
    pub lag_records: u64,
    /// Time since the platform was last heard.
    pub unheard_ms: Option<u64>,
    /// Whether the platform has not been heard for long.
    pub is_quiet: bool,
}
