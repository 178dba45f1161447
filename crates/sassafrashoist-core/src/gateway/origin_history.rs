//! All servers and routes that the log has ever named, as evidence of where streams began that no VM
//! remembers.
//!
//! After all VMs were killed, only the log tells where a stream can have begun: at the pools to which
//! its path has led, and at the software versions that their servers have had. If these are one pool
//! and one version since the first record, every stream of the path began there. Start times in the
//! entries are not used: a server that has left is in no newest entry, and clocks may differ.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::route_history::RouteHistory;
use super::route_table::RouteTable;
use super::server_listing::ServerListing;
use super::topic_history::TopicHistory;
use super::{SoftwareVersion, Uptime};
use crate::ids::PoolId;

/// All servers and routes that the log has ever named.
#[derive(Debug)]
pub struct OriginHistory {
    /// How far the server list was read.
    pub servers: TopicHistory,
    /// How far the configurations were read.
    pub configs: TopicHistory,
    versions: HashMap<PoolId, BTreeSet<SoftwareVersion>>,
    routes: RouteHistory,
}

impl Default for OriginHistory {
    fn default() -> Self {
        Self {
            servers: TopicHistory::default(),
            configs: TopicHistory::default(),
            versions: HashMap::new(),
            routes: RouteHistory::from_first_config(),
        }
    }
}

impl OriginHistory {
    /// Returns whether the history can tell no origin any more.
    pub fn has_gap(&self) -> bool {
        self.servers.next().is_none() || self.configs.next().is_none()
    }

    /// Adds an entry of the server list.
    pub fn add_listing(&mut self, listing: &ServerListing) {
        let versions = self.versions.entry(listing.pool_id.clone()).or_default();
        versions.insert(listing.software_version.clone());
    }

    /// Adds the next configuration. One that is older than the one before leaves a gap: VMs differ in
    /// whether they put it into force.
    pub fn add_config(&mut self, routes: &Arc<RouteTable>) {
        // Nothing is forgotten: as far as this history is concerned, no time passes.
        let is_newer = self.routes.replace(routes, Uptime::ZERO);
        if !is_newer && self.routes.active().is_some_and(|last| last.config() != routes.config()) {
            self.configs.record_gap();
        }
    }

    /// Returns the only pool and software version at which the streams of a path can have begun;
    /// `None` if there were several, or if that is not known.
    pub fn sole_origin(&self, host: &str, path: &str) -> Option<(PoolId, SoftwareVersion)> {
        if self.has_gap() {
            return None;
        }
        let pool = self.routes.sole_pool(host, path, Uptime::ZERO)?;
        let mut versions = self.versions.get(&pool.pool_id)?.iter();
        let version = versions.next()?.clone();
        versions.next().is_none().then_some((pool.pool_id, version))
    }
}
