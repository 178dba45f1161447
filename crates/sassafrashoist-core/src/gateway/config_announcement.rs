//! What a VM that reads the configuration tells the other VMs of its data centre.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::ConfigVersion;

/// What a VM that reads the configuration tells the other VMs of its data centre.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAnnouncement {
    /// The version that is in force at the sender.
    pub version: ConfigVersion,
    /// The hash of its document.
    pub document_hash: u64,
    /// The time since the sender knew that no newer version existed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "known_ago_ms")]
    pub known_ago: Duration,
}
