//! Requests that crash backend servers, recognised by account and body over all VMs.
//!
//! A request that was on a backend server when it crashed is a suspect. A suspect is tried again on
//! its own: no other suspect is on the same server, over all VMs of the data centre that can be
//! reached. So when a second server crashes under it, it is the cause and is quarantined, while the
//! requests that only ran beside it end well on their next try and are suspects no more.
//!
//! Copies of one request that is not yet known to be harmless go to one server, so that however
//! often it is sent at once, one VM lets it crash one server at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::request_hash::BodyHash;
use crate::ids::{BackendServerId, ClientAccountId, Timestamp};

/// Servers that a request may crash before it is quarantined.
const MAX_CRASHES: usize = 2;
/// How long a request is quarantined, and how long a crash is remembered.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// How long a crashed server is avoided by suspects, and how far apart two crashes of it are seen.
const SERVER_DOWN_TIME: Duration = Duration::from_secs(2);
/// The most requests that are remembered.
const MAX_REMEMBERED: usize = 4_096;

/// What is the same in every copy of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestMark {
    /// The client account that sends it.
    pub account_id: ClientAccountId,
    /// The hash of its body.
    pub body_hash: BodyHash,
}

/// A backend server that crashed while it had a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSighting {
    /// The request.
    pub mark: RequestMark,
    /// The server.
    pub server_id: BackendServerId,
    /// When the crash was seen.
    pub seen_at: Timestamp,
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing is held against it.
    None,
    /// One server crashed under it, so it is tried on its own.
    Suspect,
    /// It crashed servers and is refused until this time.
    Quarantined(Timestamp),
}

/// A server that has copies of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Placement {
    server_id: BackendServerId,
    copy_count: usize,
    is_trial: bool,
}

/// What one VM knows of requests that crash backend servers.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    crashes: BTreeMap<RequestMark, Vec<(BackendServerId, Timestamp)>>,
    harmless: BTreeMap<RequestMark, Timestamp>,
    placements: BTreeMap<RequestMark, Placement>,
    crashed_servers: BTreeMap<BackendServerId, Timestamp>,
}

impl QuarantineTable {
    /// Returns whether a server was seen to crash shortly before an attempt was sent to it, so that
    /// the attempt has no part in its being down.
    pub fn was_down(&self, server_id: &str, sent_at: Timestamp) -> bool {
        let crashed_at = self.crashed_servers.get(server_id);
        crashed_at.is_some_and(|at| *at < sent_at && sent_at < *at + SERVER_DOWN_TIME)
    }

    /// Records a crash; false when it was known.
    pub fn record(&mut self, sighting: &CrashSighting) -> bool {
        let crashed_at = self.crashed_servers.entry(sighting.server_id.clone()).or_default();
        *crashed_at = sighting.seen_at.max(*crashed_at);
        self.harmless.remove(&sighting.mark);
        if self.crashes.len() >= MAX_REMEMBERED && !self.crashes.contains_key(&sighting.mark) {
            self.crashes.pop_first();
        }
        let crashes = self.crashes.entry(sighting.mark.clone()).or_default();
        let is_known = crashes.iter().any(|(server_id, seen_at)| {
            let gap = seen_at.abs_diff(sighting.seen_at);
            *server_id == sighting.server_id && gap < SERVER_DOWN_TIME
        });
        if !is_known {
            crashes.push((sighting.server_id.clone(), sighting.seen_at));
        }
        !is_known
    }

    /// Returns what is known of a request.
    pub fn suspicion(&self, mark: &RequestMark, now: Timestamp) -> Suspicion {
        let Some(crashes) = self.crashes.get(mark) else {
            return Suspicion::None;
        };
        let newest = crashes.iter().map(|(_, seen_at)| *seen_at).max().unwrap_or_default();
        let ends_at = newest + QUARANTINE_TIME;
        if ends_at <= now {
            return Suspicion::None;
        }
        if crashes.len() >= MAX_CRASHES {
            return Suspicion::Quarantined(ends_at);
        }
        Suspicion::Suspect
    }

    /// Returns the crashes seen under a request.
    pub fn sightings(&self, mark: &RequestMark) -> Vec<CrashSighting> {
        let crashes = self.crashes.get(mark).into_iter().flatten();
        crashes
            .map(|(server_id, seen_at)| CrashSighting {
                mark: mark.clone(),
                server_id: server_id.clone(),
                seen_at: *seen_at,
            })
            .collect()
    }

    /// Returns the number of requests that are quarantined.
    pub fn quarantined_count(&self, now: Timestamp) -> usize {
        let marks = self.crashes.keys();
        marks.filter(|mark| matches!(self.suspicion(mark, now), Suspicion::Quarantined(_))).count()
    }

    /// Records that a backend server answered a request, which clears a suspect.
    pub fn record_harmless(&mut self, mark: &RequestMark, now: Timestamp) {
        if !matches!(self.suspicion(mark, now), Suspicion::Quarantined(_)) {
            self.crashes.remove(mark);
        }
        if self.harmless.len() >= MAX_REMEMBERED && !self.harmless.contains_key(mark) {
            self.harmless.pop_first();
        }
        self.harmless.insert(mark.clone(), now);
    }

    /// Returns the server that has copies of a request not known to be harmless.
    pub fn placed_at(&self, mark: &RequestMark) -> Option<&BackendServerId> {
        let placement = self.placements.get(mark)?;
        let must_join = placement.is_trial || !self.harmless.contains_key(mark);
        must_join.then_some(&placement.server_id)
    }

    /// Returns the servers on which other requests than this one are tried on their own.
    pub fn trial_servers(&self, except: &RequestMark) -> Vec<BackendServerId> {
        let others = self.placements.iter().filter(|(mark, _)| *mark != except);
        let trials = others.filter(|(_, placement)| placement.is_trial);
        trials.map(|(_, placement)| placement.server_id.clone()).collect()
    }

    /// Returns the servers that crashed of late.
    pub fn down_servers(&self, now: Timestamp) -> Vec<BackendServerId> {
        let servers = self.crashed_servers.keys();
        servers.filter(|server_id| self.was_down(server_id, now)).cloned().collect()
    }

    /// Claims a server for a trial; false when another request is tried there on its own.
    #[must_use]
    pub fn try_place_trial(&mut self, mark: &RequestMark, server_id: &str) -> bool {
        if self.trial_servers(mark).iter().any(|taken| taken == server_id) {
            return false;
        }
        self.place(mark, server_id, true);
        true
    }

    /// Counts a copy of a request as sent to a server.
    pub fn place(&mut self, mark: &RequestMark, server_id: &str, is_trial: bool) {
        let placement = self.placements.entry(mark.clone()).or_insert_with(|| Placement {
            server_id: server_id.to_owned(),
            copy_count: 0,
            is_trial,
        });
        placement.copy_count += 1;
        placement.is_trial |= is_trial;
    }

    /// Counts a copy of a request as ended.
    pub fn unplace(&mut self, mark: &RequestMark) {
        let Some(placement) = self.placements.get_mut(mark) else {
            return;
        };
        placement.copy_count -= 1;
        if placement.copy_count == 0 {
            self.placements.remove(mark);
        }
    }
}
