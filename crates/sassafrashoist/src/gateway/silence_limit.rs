//! When a request leaves a silent server.

use std::time::Duration;

use sassafrashoist_core::gateway::server_directory::ServerRequirements;

/// When a request leaves a silent server.
#[derive(Debug, Clone)]
pub struct SilenceLimit {
    /// How long the server may be silent while others are not.
    pub timeout: Duration,
    /// The requirements on the server that takes the request over.
    pub requirements: ServerRequirements,
}
