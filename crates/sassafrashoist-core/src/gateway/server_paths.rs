//! Which backend servers this VM reaches by connections of its own.
//!
//! A connection that does not open says nothing about the cause: the server has ended, or this VM
//! has lost its path to it. Another VM tells them apart. If it reaches the server at the same time,
//! the path is lost, which says nothing about the server; requests for the server then go through
//! other VMs until a probe opens a connection again. Paths to servers are lost alone, by pool or all
//! together. After a few lost paths in a row, the others of the pool count as lost too, so that not
//! every server costs a request the time of a connection that does not open.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Uptime;
use crate::ids::{BackendServerId, PoolId};

/// Lost paths to servers of a pool, without a connection that opened in between, after which all
/// paths to the pool count as lost.
const LOST_IN_A_ROW: usize = 2;
/// The time between two probes of lost paths.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two probes after a probe that opened a connection.
const FAST_PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// The number of paths that are probed at a time after a probe that opened a connection.
const FAST_PROBE_COUNT: usize = 8;
/// How long no other VM is asked after none could help.
const NO_RELAY_TIME: Duration = Duration::from_millis(300);
/// How long the answer that a server is out of reach for another VM too is used.
const CONFIRMED_DOWN_TIME: Duration = Duration::from_millis(500);

/// The way of a request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// A connection of this VM.
    Direct,
    /// A connection through another VM.
    Relayed,
    /// None: this VM has lost its path, and the others cannot help at present.
    None,
}

/// What changed when a connection to a server opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opened {
    /// Nothing: the last one opened as well.
    AsBefore,
    /// The last one did not open, or there was none.
    Reached,
    /// The path to the server was lost.
    Regained,
}

/// What changed when a path was found to be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostPath {
    /// Whether the path did not count as lost before.
    pub is_new: bool,
    /// Servers of the pool whose paths count as lost from now on without having been tried.
    pub assumed_count: usize,
}

/// How many servers this VM reaches by connections of its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReachCounts {
    /// Servers whose last connection opened.
    pub reached: usize,
    /// Servers whose last connection failed.
    pub failed: usize,
    /// Servers whose path counts as lost.
    pub lost: usize,
}

/// Which backend servers this VM reaches by connections of its own.
#[derive(Debug, Default)]
pub struct ServerPaths {
    /// Whether the last connection to a server opened.
    last_connections: BTreeMap<BackendServerId, bool>,
    /// When each lost path was probed last.
    lost: BTreeMap<BackendServerId, Uptime>,
    lost_in_a_row: BTreeMap<PoolId, usize>,
    confirmed_down_at: BTreeMap<BackendServerId, Uptime>,
    no_relay_until: BTreeMap<PoolId, Uptime>,
    next_probe_at: Uptime,
    is_regaining: bool,
}

impl ServerPaths {
    /// Returns the way of a request to a server.
    pub fn way_to(&self, pool_id: &str, server_id: &str, now: Uptime) -> Way {
        match self.is_lost(server_id) {
            false => Way::Direct,
            true if self.may_ask_others(pool_id, now) => Way::Relayed,
            true => Way::None,
        }
    }

    /// Returns whether the path to a server counts as lost.
    pub fn is_lost(&self, server_id: &str) -> bool {
        self.lost.contains_key(server_id)
    }

    /// Returns whether other VMs may be asked for connections to a pool.
    pub fn may_ask_others(&self, pool_id: &str, now: Uptime) -> bool {
        self.no_relay_until.get(pool_id).is_none_or(|until| now >= *until)
    }

    /// Records that a connection of this VM to a server opened.
    ///
    /// The other lost paths of the VM are probed at once then.
    pub fn record_opened(&mut self, pool_id: &str, server_id: &str, now: Uptime) -> Opened {
        let is_as_before = self.last_connections.get(server_id) == Some(&true);
        if !is_as_before {
            self.last_connections.insert(server_id.to_owned(), true);
        }
        self.lost_in_a_row.remove(pool_id);
        self.confirmed_down_at.remove(server_id);
        if self.lost.remove(server_id).is_some() {
            self.is_regaining = true;
            self.next_probe_at = now;
            return Opened::Regained;
        }
        if is_as_before { Opened::AsBefore } else { Opened::Reached }
    }

    /// Records that a connection of this VM to a server did not open.
    pub fn record_failed(&mut self, server_id: &str) {
        self.last_connections.insert(server_id.to_owned(), false);
    }

    /// Records that another VM reached a server that this VM did not reach just before. `pool` lists
    /// all servers of the pool.
    pub fn record_lost(
        &mut self,
        pool_id: &str,
        server_id: &str,
        pool: &[BackendServerId],
        now: Uptime,
    ) -> LostPath {
        self.no_relay_until.remove(pool_id);
        self.confirmed_down_at.remove(server_id);
        let is_new = self.add_lost(server_id, now);
        let counted = self.lost_in_a_row.entry(pool_id.to_owned()).or_default();
        *counted += usize::from(is_new);
        let lost_in_a_row = *counted;
        let mut assumed_count = 0;
        if lost_in_a_row >= LOST_IN_A_ROW {
            for other_id in pool {
                assumed_count += usize::from(self.add_lost(other_id, now));
            }
        }
        LostPath { is_new, assumed_count }
    }

    /// Records that a server is out of reach for another VM too.
    pub fn record_confirmed_down(&mut self, server_id: &str, now: Uptime) {
        self.confirmed_down_at.insert(server_id.to_owned(), now);
    }

    /// Returns whether a server was out of reach for another VM too a moment ago.
    pub fn is_confirmed_down(&self, server_id: &str, now: Uptime) -> bool {
        self.confirmed_down_at.get(server_id).is_some_and(|at| now < *at + CONFIRMED_DOWN_TIME)
    }

    /// Records that no other VM can help with connections to a pool.
    pub fn record_no_relay(&mut self, pool_id: &str, now: Uptime) {
        self.no_relay_until.insert(pool_id.to_owned(), now + NO_RELAY_TIME);
    }

    /// Returns the servers to which a connection should be opened now, to find out whether their
    /// paths are back: those that were not probed for the longest time.
    ///
    /// While the probes fail, the VM probes one server in each [`PROBE_INTERVAL`], however many it
    /// has lost.
    pub fn next_probes(&mut self, now: Uptime) -> Vec<BackendServerId> {
        if now < self.next_probe_at || self.lost.is_empty() {
            return Vec::new();
        }
        let (count, interval) = match self.is_regaining {
            true => (FAST_PROBE_COUNT, FAST_PROBE_INTERVAL),
            false => (1, PROBE_INTERVAL),
        };
        self.is_regaining = false;
        self.next_probe_at = now + interval;
        let mut oldest_first: Vec<_> = self.lost.iter_mut().collect();
        oldest_first.sort_by_key(|(_, probed_at)| **probed_at);
        let probed = oldest_first.into_iter().take(count).map(|(server_id, probed_at)| {
            *probed_at = now;
            server_id.clone()
        });
        probed.collect()
    }

    /// Removes the servers that are not in the directory any more.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.last_connections.retain(|server_id, _| is_kept(server_id));
        self.lost.retain(|server_id, _| is_kept(server_id));
        self.confirmed_down_at.retain(|server_id, _| is_kept(server_id));
    }

    /// Returns how many servers this VM reaches.
    pub fn counts(&self) -> ReachCounts {
        let reached = self.last_connections.values().filter(|opened| **opened).count();
        let failed = self.last_connections.len() - reached;
        ReachCounts { reached, failed, lost: self.lost.len() }
    }

    fn add_lost(&mut self, server_id: &str, now: Uptime) -> bool {
        if self.is_lost(server_id) {
            return false;
        }
        if self.lost.is_empty() {
            self.next_probe_at = now + PROBE_INTERVAL;
            self.is_regaining = false;
        }
        self.lost.insert(server_id.to_owned(), now);
        true
    }
}
