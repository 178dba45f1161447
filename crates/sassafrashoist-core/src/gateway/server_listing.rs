//! What a backend server says of itself in the platform's list.

use std::net::SocketAddr;

use crate::ids::{BackendServerId, DataCentreId, PoolId};

/// What a backend server says of itself in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerListing {
    /// The server.
    pub id: BackendServerId,
    /// Its pool.
    pub pool_id: PoolId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Requests that it runs at a time.
    pub slot_count: u32,
    /// Whether it announced that it will stop.
    pub is_draining: bool,
    /// When it started, in milliseconds since the Unix epoch; tells two runs with one id apart.
    pub started_at_unix_ms: u64,
}
