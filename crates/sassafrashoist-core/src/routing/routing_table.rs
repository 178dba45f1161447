//! The backend servers as one router sees them.

use std::collections::BTreeMap;

use super::server_view::{LoadReport, ServerView};
use crate::ids::{BackendServerId, Timestamp};

/// All backend servers of the bundle.
#[derive(Debug, Default)]
pub struct RoutingTable {
    servers: BTreeMap<BackendServerId, ServerView>,
    /// Counts choices, for the policy that takes servers in turn.
    pub turn: usize,
}

impl RoutingTable {
    /// Takes over a bundle's servers and keeps what is known of those that stay.
    pub fn replace_servers(&mut self, servers: Vec<ServerView>) {
        let mut previous = std::mem::take(&mut self.servers);
        for mut server in servers {
            if let Some(known) = previous.remove(&server.server_id) {
                server.load = known.load;
                server.in_flight_count = known.in_flight_count;
                server.leaving_since = server.leaving_since.or(known.leaving_since);
            }
            self.servers.insert(server.server_id.clone(), server);
        }
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerView> {
        self.servers.values()
    }

    /// Returns one server.
    pub fn server(&self, server_id: &str) -> Option<&ServerView> {
        self.servers.get(server_id)
    }

    /// Records a server's report unless a newer one is known.
    pub fn record_load(&mut self, server_id: &str, load: LoadReport) {
        if let Some(server) = self.servers.get_mut(server_id)
            && server.load.taken_at <= load.taken_at
        {
            server.load = load;
        }
    }

    /// Records that the platform lists a server as leaving.
    pub fn record_leaving(&mut self, server_id: &str, now: Timestamp) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.leaving_since.get_or_insert(now);
        }
    }

    /// Counts a request as sent to a server.
    pub fn begin_attempt(&mut self, server_id: &str) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.in_flight_count += 1;
        }
    }

    /// Counts a request as ended on a server.
    pub fn end_attempt(&mut self, server_id: &str) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.in_flight_count = server.in_flight_count.saturating_sub(1);
        }
    }
}
