//! What a router knows of one backend server.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendServerId, DataCentreId, ModelId, PoolId, Timestamp};

/// A server's own report of its load, which arrives late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the server took the figures.
    pub taken_at: Timestamp,
    /// Requests that it runs.
    pub running_count: u32,
    /// Requests that wait in it.
    pub queued_count: u32,
}

/// What a router knows of one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerView {
    /// The server.
    pub server_id: BackendServerId,
    /// Its data centre.
    pub data_centre_id: DataCentreId,
    /// Its pool.
    pub pool_id: PoolId,
    /// Its address, as `IP:PORT`.
    pub address: String,
    /// The models it has loaded; empty for a plain service.
    pub model_ids: BTreeSet<ModelId>,
    /// How many requests it runs at once.
    pub slot_count: u32,
    /// When its leaving was published.
    pub leaving_since: Option<Timestamp>,
    /// Its last report.
    pub load: LoadReport,
    /// Requests that this router has in progress there.
    pub in_flight_count: u32,
}

impl ServerView {
    /// The requests on the server as far as this router knows, per slot, in thousandths.
    pub fn load_per_mille(&self) -> u64 {
        let reported = self.load.running_count + self.load.queued_count;
        let busy = u64::from(reported.max(self.in_flight_count));
        busy * 1000 / u64::from(self.slot_count.max(1))
    }
}
