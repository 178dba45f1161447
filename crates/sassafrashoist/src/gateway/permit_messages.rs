//! The messages that VMs exchange about backend servers that name a limit.

use std::time::Duration;

use sassafrashoist_core::ids::BackendServerId;
use sassafrashoist_core::routing::server_limit::LimitReport;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The path to which VMs send requests for permits.
pub const PERMIT_PATH: &str = "/permit";

/// The path to which VMs send notices of changed limits.
pub const LIMIT_PATH: &str = "/limit";

/// A backend server and the limit that the sender knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitedServer {
    /// The server.
    pub server_id: BackendServerId,
    /// When the server started, in milliseconds since the Unix epoch. A server that started again
    /// under its id has no limit of before.
    pub started_at_unix_ms: u64,
    /// What the sender knows of the limit.
    pub limit: LimitReport,
}

/// Requests a permit to send one request to a server.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The server.
    pub server: LimitedServer,
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// How long the request may wait for the permit.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_wait_ms")]
    pub max_wait: Duration,
}

/// Follows a [`PermitRequest`] for a server that is cold. Older builds ignore it and do not send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdServer {
    /// The time in milliseconds for which the server stays cold.
    pub left_ms: u64,
}

/// The outcome of a [`PermitRequest`].
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// The request may be sent. This is also the outcome if the server names no limit any more.
    Issued,
    /// The request gets no permit in time.
    Refused {
        /// The time until the next permit.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "next_in_ms")]
        next_in: Duration,
        /// The time until a permit that is not expected to be taken by requests that were refused
        /// before.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "return_in_ms")]
        return_in: Duration,
    },
    /// The VM does not issue permits of the server.
    NotIssuer,
}

/// The response to a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// The outcome.
    pub outcome: PermitOutcome,
    /// What the issuer knows of the limit; `None` if it does not know the server.
    pub limit: Option<LimitReport>,
}

/// Tells another VM that a limit has changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The server.
    pub server: LimitedServer,
    /// Whether the receiver, as the issuer of the server's permits, tells all other VMs.
    pub is_to_be_shared: bool,
}
