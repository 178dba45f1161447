//! The messages that VMs exchange about where streams began.

use std::time::Duration;

use sassafrashoist_core::gateway::stream_origins::{StreamKey, StreamOrigin};
use sassafrashoist_core::ids::ClientAccountId;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The path to which VMs send questions for the origin of a stream.
pub const STREAM_ORIGIN_PATH: &str = "/stream-origin";

/// Tells another VM, in a datagram, that a stream has just begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBegun {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
}

/// Asks another VM where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginRequest {
    /// The stream.
    pub key: StreamKey,
    /// The client account of the caller that resumes it.
    pub account_id: Option<ClientAccountId>,
}

/// The response to a [`StreamOriginRequest`] of a VM that keeps the origin.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptOrigin {
    /// Where the stream began.
    pub origin: StreamOrigin,
    /// The time since it began.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "began_ago_ms")]
    pub began_ago: Duration,
}
