//! The messages that VMs exchange about the configuration.

use sassafrashoist_core::gateway::ConfigVersion;
use sassafrashoist_core::gateway::document_delta::{ChunkHash, DocumentDelta};
use serde::{Deserialize, Serialize};

/// The path to which VMs send requests for a configuration.
pub const CONFIG_PATH: &str = "/config";

/// Requests a configuration as the difference to the one of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// The oldest version that the sender wants.
    pub version: ConfigVersion,
    /// The chunks of its own document.
    pub chunk_hashes: Vec<ChunkHash>,
}

/// The response to a [`ConfigRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigResponse {
    /// The configuration in force at the other VM.
    Document {
        /// Its version.
        version: ConfigVersion,
        /// Its document.
        delta: DocumentDelta,
    },
    /// The other VM has an older version in force, or none.
    NoSuchVersion,
    /// The difference does not fit into a message.
    TooLong,
    /// The other VM serves too many requests for a configuration.
    Busy,
}
