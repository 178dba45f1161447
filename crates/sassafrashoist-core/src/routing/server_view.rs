//! The state of one backend server as recorded by one router.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendServerId, DataCentreId, ModelId, PoolId, Timestamp};

/// A server's report of its own load, which arrives with a delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the server counted its requests.
    pub taken_at: Timestamp,
    /// Number of requests that it runs.
    pub running_count: u32,
    /// Number of requests in the server's own queue.
    pub queued_count: u32,
}

/// The state of one backend server as recorded by one router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerView {
    /// The id of the server.
    pub server_id: BackendServerId,
    /// The id of its data centre.
    pub data_centre_id: DataCentreId,
    /// The id of its pool.
    pub pool_id: PoolId,
    /// Its address, as `IP:PORT`.
    pub address: String,
    /// The models it has loaded; empty for a service without models.
    pub model_ids: BTreeSet<ModelId>,
    /// How many requests it can run at once.
    pub slot_count: u32,
    /// When it was published as leaving; none if it is not leaving.
    pub leaving_since: Option<Timestamp>,
    /// Its last load report.
    pub load: LoadReport,
    /// Number of requests that this router has in progress on it.
    pub in_flight_count: u32,
}

impl ServerView {
    /// Returns the number of requests on the server per slot, in thousandths. The number is the
    /// reported one or this router's own, whichever is larger.
    pub fn load_per_mille(&self) -> u64 {
        let reported = self.load.running_count + self.load.queued_count;
        let request_count = u64::from(reported.max(self.in_flight_count));
        request_count * 1000 / u64::from(self.slot_count.max(1))
    }
}
