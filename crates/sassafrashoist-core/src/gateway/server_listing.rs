//! The entry of a backend server in the platform's server list.

use std::net::SocketAddr;

use super::SoftwareVersion;
use crate::ids::{BackendServerId, DataCentreId, PoolId};

/// The entry of a backend server in the platform's server list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerListing {
    /// The id of the server.
    pub id: BackendServerId,
    /// The pool that the server belongs to.
    pub pool_id: PoolId,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The data centre of the server.
    pub data_centre_id: DataCentreId,
    /// The number of requests that the server can run concurrently.
    pub slot_count: u32,
    /// Whether the server announced that it will stop.
    pub is_draining: bool,
    /// When the server started, in milliseconds since the Unix epoch; distinguishes incarnations
    /// with the same id.
    pub started_at_unix_ms: u64,
    /// The version of its software. What two versions write does not fit into one stream.
    pub software_version: SoftwareVersion,
}
