//! Which backend servers this VM reaches by connections of its own.

use std::collections::BTreeMap;

use crate::ids::BackendServerId;

/// How many servers this VM reaches by connections of its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReachCounts {
    /// Servers whose last connection opened.
    pub reached: usize,
    /// Servers whose last connection failed.
    pub failed: usize,
}

/// Which backend servers this VM reaches by connections of its own.
#[derive(Debug, Default)]
pub struct ServerPaths {
    /// Whether the last connection to a server opened.
    last_connections: BTreeMap<BackendServerId, bool>,
}

impl ServerPaths {
    /// Records how a connection of this VM to a server ended up.
    pub fn record_connection(&mut self, server_id: &str, has_opened: bool) {
        self.last_connections.insert(server_id.to_owned(), has_opened);
    }

    /// Removes the servers that are not in the directory any more.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.last_connections.retain(|server_id, _| is_kept(server_id));
    }

    /// Returns how many servers this VM reaches.
    pub fn counts(&self) -> ReachCounts {
        let reached = self.last_connections.values().filter(|opened| **opened).count();
        ReachCounts { reached, failed: self.last_connections.len() - reached }
    }
}
