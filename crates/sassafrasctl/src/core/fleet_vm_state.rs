//! The part of a VM's state dump that the fleet status is built from.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use sassafrashoist_core::ids::{BundleVersion, DataCentreId, Incarnation, LogOffset, VmId};
use sassafrashoist_core::membership::member::MemberView;

/// The part of a VM's state dump that the fleet status is built from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetVmState {
    /// The VM's id.
    pub vm_id: VmId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its readiness step: ready, or what it waits for.
    pub readiness: String,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// The number of requests in progress.
    pub in_flight_count: usize,
    /// The version of the active bundle, 0 if there is none.
    pub bundle_version: BundleVersion,
    /// The digest of the active bundle.
    pub bundle_digest: Option<String>,
    /// Its membership view of the other VMs.
    pub members: Vec<MemberView>,
    /// The log streams that it follows, by name.
    pub streams: BTreeMap<String, FollowedStream>,
    /// The number of violations of each invariant; all must be 0.
    #[serde(rename = "promises")]
    pub invariant_violations: BTreeMap<String, u64>,
}

/// How far one VM has read a log stream, and from where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowedStream {
    /// The VM that the last page was read from; `None` for the platform.
    pub reader_vm_id: Option<VmId>,
    /// The offset of the next record to read.
    pub next_offset: LogOffset,
    /// The number of records in the log that the VM has not read yet.
    pub lag_records: u64,
    /// The time since the last contact with the platform, direct or through another VM; `None` if
    /// there was none.
    #[serde(rename = "unheard_ms")]
    pub contact_age_ms: Option<u64>,
    /// Whether there was no contact with the platform yet, or the last one is too old for records
    /// to be relayed.
    #[serde(rename = "is_quiet")]
    pub is_stale: bool,
}
