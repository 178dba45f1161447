//! The messages in which VMs exchange which requests they run and which requests crash servers.

use serde::{Deserialize, Serialize};

use super::quarantine::{CrashSighting, RequestFingerprint};
use crate::ids::{BackendServerId, RequestKey};

/// The request of `Fleet.Sightings`: asks a VM about a request, and reports crashes to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingsRequest {
    /// Asks whether the receiver runs the request with this key.
    pub running_key: Option<RequestKey>,
    /// Asks for the crashes under this request, and for trials of others.
    #[serde(rename = "mark")]
    pub fingerprint: Option<RequestFingerprint>,
    /// Crashes that the sender has recorded.
    pub sightings: Vec<CrashSighting>,
}

/// The response of `Fleet.Sightings`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingsResponse {
    /// Whether the VM runs the request with the given key.
    pub is_running: bool,
    /// Crashes that the VM has recorded under the given request.
    pub sightings: Vec<CrashSighting>,
    /// Servers on which the VM tries other suspects in isolation.
    pub trial_server_ids: Vec<BackendServerId>,
}
