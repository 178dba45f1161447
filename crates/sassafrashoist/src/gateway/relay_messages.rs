//! The messages by which a VM asks others to reach backend servers for it.

use std::time::Duration;

use sassafrashoist_core::gateway::HolderId;
use sassafrashoist_core::ids::BackendServerId;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The path to which VMs send requests to reach a server for them.
pub const RELAY_PATH: &str = "/relay";

/// The protocol to which a connection changes that carries the bytes of a server's connection.
pub const RELAY_PROTOCOL: &str = "relay";

/// Asks a VM to open a connection to a server.
///
/// The VM uses the address of its own server list, and opens no connection to anything else.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The sender's incarnation, which only VMs that read the ledger know.
    pub holder_id: HolderId,
    /// The server.
    pub server_id: BackendServerId,
    /// When the server started, in milliseconds since the Unix epoch.
    pub started_at_unix_ms: u64,
    /// What to do with the connection.
    pub purpose: RelayPurpose,
}

/// What a VM does with the connection that it opens for another.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayPurpose {
    /// It closes the connection at once.
    Probe,
    /// It passes bytes on in both directions, for this long at most.
    Carry(
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "max_time_ms")]
        Duration,
    ),
}

/// The response to a [`RelayRequest`], unless the connection carries bytes from then on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayOutcome {
    /// A connection to the server opened.
    Reached,
    /// The server refuses connections.
    Refused,
    /// The server does not respond.
    Unreachable,
    /// The VM has lost its own path to the server.
    NoPath,
    /// The VM holds as many requests as it can, or stops.
    Busy,
    /// The server is not in the VM's list, or has started again since.
    UnknownServer,
    /// The sender is not in the VM's copy of the ledger.
    UnknownSender,
}
