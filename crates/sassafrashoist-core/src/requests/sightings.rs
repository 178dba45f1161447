//! What VMs tell each other of the requests that they run.

use serde::{Deserialize, Serialize};

use crate::ids::RequestKey;

/// Asks a VM about the requests that it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingsCall {
    /// Asks whether the VM runs this request.
    pub running_key: Option<RequestKey>,
}

/// What a VM says of the requests that it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingsAnswer {
    /// Whether the VM runs the request that was asked about.
    pub is_running: bool,
}
