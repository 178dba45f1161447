//! What VMs tell each other of the requests that they run and of those that crash servers.

use serde::{Deserialize, Serialize};

use super::quarantine::{CrashSighting, RequestMark};
use crate::ids::{BackendServerId, RequestKey};

/// Asks a VM about the requests that it runs, and tells it of crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingsCall {
    /// Asks whether the VM runs this request.
    pub running_key: Option<RequestKey>,
    /// Asks what the VM knows of this request.
    pub mark: Option<RequestMark>,
    /// Crashes that the asking VM knows of.
    pub sightings: Vec<CrashSighting>,
}

/// What a VM says of the requests that it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingsAnswer {
    /// Whether the VM runs the request that was asked about.
    pub is_running: bool,
    /// Crashes under the request that was asked about.
    pub sightings: Vec<CrashSighting>,
    /// Servers on which the VM tries other suspects on their own.
    pub trial_server_ids: Vec<BackendServerId>,
}
