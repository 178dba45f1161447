//! Quarantines requests that crash backend servers. A request is identified by its account and
//! body, the same on all VMs.
//!
//! A request that was on a backend server when the server crashed is a suspect. A suspect is
//! retried in isolation: no other suspect is on the same server, across all reachable VMs of the
//! data centre. If a second server crashes under it, it is taken as the cause and quarantined,
//! while requests that only ran next to it succeed on their next attempt and are no longer
//! suspects. A crash that is explained by a quarantined request does not count against the others.
//! At the end of a quarantine the request is a suspect again, so that it is tried in isolation: at
//! most [`MAX_LATER_TRIALS`] times, since each may cost a server. A complete response clears a
//! request, also a quarantined one.
//!
//! Copies of a request that is not known to be harmless all go to the same server, so that one VM
//! lets the request crash only one server at a time, however many copies are sent at once.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::request_hash::{BodyHash, hash_request};
use crate::ids::{BackendServerId, ClientAccountId, Timestamp};

/// The number of crashes under a request that quarantines it.
const QUARANTINE_CRASH_COUNT: usize = 2;
/// How long a request is quarantined at first, and how long one crash makes it a suspect. Each trial
/// that crashes another server doubles the time.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// The number of crashes after the quarantine began that end all further trials.
const MAX_LATER_TRIALS: u32 = 3;
/// How long a request is quarantined that has had all its trials.
const FINAL_QUARANTINE_TIME: Duration = Duration::from_secs(86_400);
/// How long suspects avoid a crashed server. Crashes of a server that are reported less than this
/// apart count as the same crash.
const SERVER_DOWN_TIME: Duration = Duration::from_secs(2);
/// The time after a crash in which most suspects are cleared by a complete answer.
const CLEARING_TIME: Duration = Duration::from_secs(1);
/// The maximum number of requests in each table of crashes and of harmless requests.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// Identifies all copies of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint {
    /// The client account that sends it.
    pub account_id: ClientAccountId,
    /// The hash of what the caller asks for: the body, and on the gateway the method and path too.
    pub body_hash: BodyHash,
}

impl RequestFingerprint {
    /// Returns the fingerprint of an HTTP request; a request without an account has an empty one.
    pub fn of_http(account_id: Option<&str>, method: &str, path: &str, body: &[u8]) -> Self {
        Self {
            account_id: account_id.unwrap_or_default().to_owned(),
            body_hash: hash_request(method, path, body),
        }
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{:032x}", self.account_id, self.body_hash)
    }
}

/// A crash of a backend server that was seen while the server had a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSighting {
    /// The request.
    #[serde(rename = "mark")]
    pub fingerprint: RequestFingerprint,
    /// The server.
    pub server_id: BackendServerId,
    /// When the crash was seen.
    pub seen_at: Timestamp,
}

/// Whether a request is suspected of crashing servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It is not suspected.
    None,
    /// One server crashed under it, so it is tried in isolation.
    Suspect,
    /// It crashed several servers and is refused until this time.
    Quarantined(Timestamp),
}

/// The server that has the copies of a request in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Placement {
    server_id: BackendServerId,
    copy_count: usize,
    is_trial: bool,
}

/// What one VM has recorded about requests that crash backend servers.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    crashes: BTreeMap<RequestFingerprint, Vec<(BackendServerId, Timestamp)>>,
    harmless: BTreeMap<RequestFingerprint, Timestamp>,
    placements: BTreeMap<RequestFingerprint, Placement>,
    crashed_servers: BTreeMap<BackendServerId, Timestamp>,
}

impl QuarantineTable {
    /// Returns whether a server was seen to crash shortly before an attempt was sent to it, so that
    /// the attempt is not the reason why it is down.
    pub fn was_down(&self, server_id: &str, sent_at: Timestamp) -> bool {
        let crashed_at = self.crashed_servers.get(server_id);
        crashed_at.is_some_and(|at| *at < sent_at && sent_at < *at + SERVER_DOWN_TIME)
    }

    /// Records a crash; false when it was already recorded.
    pub fn record(&mut self, sighting: &CrashSighting) -> bool {
        self.crashed_servers.retain(|_, at| sighting.seen_at < *at + SERVER_DOWN_TIME);
        let crashed_at = self.crashed_servers.entry(sighting.server_id.clone()).or_default();
        *crashed_at = sighting.seen_at.max(*crashed_at);
        if self.harmless.get(&sighting.fingerprint).is_some_and(|at| sighting.seen_at < *at) {
            return false;
        }
        self.harmless.remove(&sighting.fingerprint);
        if self.crashes.len() >= MAX_TRACKED_REQUESTS
            && !self.crashes.contains_key(&sighting.fingerprint)
        {
            self.evict_crashes();
        }
        let crashes = self.crashes.entry(sighting.fingerprint.clone()).or_default();
        let crash = (sighting.server_id.clone(), sighting.seen_at);
        let is_recorded = crashes.iter().any(|seen| is_same_crash(seen, &crash));
        if !is_recorded {
            crashes.push(crash);
        }
        !is_recorded
    }

    /// Returns whether a request is suspect or quarantined.
    pub fn suspicion(&self, fingerprint: &RequestFingerprint, now: Timestamp) -> Suspicion {
        let Some(crashes) = self.crashes.get(fingerprint) else {
            return Suspicion::None;
        };
        let newest = newest_crash(crashes);
        let explained_count =
            crashes.iter().filter(|crash| self.is_explained(fingerprint, crash)).count();
        let count = crashes.len() - explained_count;
        if count < QUARANTINE_CRASH_COUNT {
            let is_suspect = count > 0 && now < newest + QUARANTINE_TIME;
            return if is_suspect { Suspicion::Suspect } else { Suspicion::None };
        }
        let ends_at = newest + quarantine_time(count - QUARANTINE_CRASH_COUNT);
        if now < ends_at { Suspicion::Quarantined(ends_at) } else { Suspicion::Suspect }
    }

    /// Forgets the half of the requests whose crashes are the oldest, those that are not quarantined
    /// first.
    fn evict_crashes(&mut self) {
        let mut ages: Vec<_> = self
            .crashes
            .iter()
            .map(|(fingerprint, crashes)| {
                let is_quarantined = crashes.len() >= QUARANTINE_CRASH_COUNT;
                (is_quarantined, newest_crash(crashes), fingerprint.clone())
            })
            .collect();
        ages.sort_unstable();
        for (_, _, fingerprint) in ages.iter().take(MAX_TRACKED_REQUESTS / 2) {
            self.crashes.remove(fingerprint);
        }
    }

    /// Forgets the crashes of servers for which another cause is known.
    pub fn forget_servers(&mut self, server_ids: &[BackendServerId]) {
        for crashes in self.crashes.values_mut() {
            crashes.retain(|(server_id, _)| !server_ids.contains(server_id));
        }
        self.crashes.retain(|_, crashes| !crashes.is_empty());
    }

    /// Returns whether crashes under a request are recorded.
    pub fn has_crashes(&self, fingerprint: &RequestFingerprint) -> bool {
        self.crashes.contains_key(fingerprint)
    }

    /// Returns the crashes of the `max_count` requests whose crashes are the newest. A request with
    /// one crash is left out until [`CLEARING_TIME`] after it: when a server ends there are many, and
    /// most of them are cleared soon.
    pub fn newest_sightings(&self, max_count: usize, now: Timestamp) -> Vec<CrashSighting> {
        let is_settled = |crashes: &[(BackendServerId, Timestamp)]| {
            crashes.len() >= QUARANTINE_CRASH_COUNT || newest_crash(crashes) + CLEARING_TIME <= now
        };
        let mut fingerprints: Vec<_> =
            self.crashes.iter().filter(|(_, crashes)| is_settled(crashes)).collect();
        fingerprints.sort_by_key(|(_, crashes)| std::cmp::Reverse(newest_crash(crashes)));
        let newest = fingerprints.into_iter().take(max_count);
        newest.flat_map(|(fingerprint, _)| self.sightings(fingerprint)).collect()
    }

    /// Returns whether the crash was also seen under another request, which reached the number of
    /// crashes for quarantine earlier.
    fn is_explained(
        &self,
        fingerprint: &RequestFingerprint,
        crash: &(BackendServerId, Timestamp),
    ) -> bool {
        let reached_at = self
            .crashes
            .get(fingerprint)
            .and_then(|crashes| reached_crash_count_at(crashes))
            .unwrap_or(Timestamp::MAX);
        self.crashes.iter().any(|(other, crashes)| {
            reached_crash_count_at(crashes).is_some_and(|at| at < reached_at)
                && other != fingerprint
                && crashes.iter().any(|seen| is_same_crash(seen, crash))
        })
    }

    /// Returns the crashes seen under a request.
    pub fn sightings(&self, fingerprint: &RequestFingerprint) -> Vec<CrashSighting> {
        let crashes = self.crashes.get(fingerprint).into_iter().flatten();
        crashes
            .map(|(server_id, seen_at)| CrashSighting {
                fingerprint: fingerprint.clone(),
                server_id: server_id.clone(),
                seen_at: *seen_at,
            })
            .collect()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self, now: Timestamp) -> usize {
        let fingerprints = self.crashes.keys();
        fingerprints
            .filter(|fingerprint| {
                matches!(self.suspicion(fingerprint, now), Suspicion::Quarantined(_))
            })
            .count()
    }

    /// Records that a backend server responded completely to a request, so that it is no longer a
    /// suspect or quarantined. Crashes that were seen later stay.
    pub fn record_harmless(&mut self, fingerprint: &RequestFingerprint, at: Timestamp) {
        if let Some(crashes) = self.crashes.get_mut(fingerprint) {
            crashes.retain(|(_, seen_at)| *seen_at > at);
            if crashes.is_empty() {
                self.crashes.remove(fingerprint);
            }
        }
        if self.harmless.len() >= MAX_TRACKED_REQUESTS && !self.harmless.contains_key(fingerprint) {
            let mut times: Vec<_> = self.harmless.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.harmless.retain(|_, at| *at > median);
        }
        let newest = self.harmless.entry(fingerprint.clone()).or_default();
        *newest = at.max(*newest);
    }

    /// Returns the server that further copies of a request must go to: the one that has copies of
    /// it already, if the request is on trial or not known to be harmless.
    pub fn pinned_server(&self, fingerprint: &RequestFingerprint) -> Option<&BackendServerId> {
        let placement = self.placements.get(fingerprint)?;
        let is_pinned = placement.is_trial || !self.harmless.contains_key(fingerprint);
        is_pinned.then_some(&placement.server_id)
    }

    /// Returns the servers on which requests other than this one are tried in isolation.
    pub fn trial_servers(&self, except: &RequestFingerprint) -> Vec<BackendServerId> {
        let others = self.placements.iter().filter(|(fingerprint, _)| *fingerprint != except);
        let trials = others.filter(|(_, placement)| placement.is_trial);
        trials.map(|(_, placement)| placement.server_id.clone()).collect()
    }

    /// Returns the servers that crashed recently.
    pub fn down_servers(&self, now: Timestamp) -> Vec<BackendServerId> {
        let servers = self.crashed_servers.keys();
        servers.filter(|server_id| self.was_down(server_id, now)).cloned().collect()
    }

    /// Claims a server for an isolated trial; false when another request has its trial there.
    #[must_use]
    pub fn try_start_trial(&mut self, fingerprint: &RequestFingerprint, server_id: &str) -> bool {
        if self.trial_servers(fingerprint).iter().any(|trial| trial == server_id) {
            return false;
        }
        self.add_copy(fingerprint, server_id, true);
        true
    }

    /// Counts a copy of a request that is sent to a server.
    pub fn add_copy(&mut self, fingerprint: &RequestFingerprint, server_id: &str, is_trial: bool) {
        let placement = self.placements.entry(fingerprint.clone()).or_insert_with(|| Placement {
            server_id: server_id.to_owned(),
            copy_count: 0,
            is_trial,
        });
        placement.copy_count += 1;
        placement.is_trial |= is_trial;
    }

    /// Counts a copy of a request as finished.
    pub fn remove_copy(&mut self, fingerprint: &RequestFingerprint) {
        let Some(placement) = self.placements.get_mut(fingerprint) else {
            return;
        };
        placement.copy_count -= 1;
        if placement.copy_count == 0 {
            self.placements.remove(fingerprint);
        }
    }
}

/// Returns when the number of crashes under a request reached [`QUARANTINE_CRASH_COUNT`].
fn reached_crash_count_at(crashes: &[(BackendServerId, Timestamp)]) -> Option<Timestamp> {
    if crashes.len() < QUARANTINE_CRASH_COUNT {
        return None;
    }
    let mut times: Vec<_> = crashes.iter().map(|(_, at)| *at).collect();
    times.sort_unstable();
    times.get(QUARANTINE_CRASH_COUNT - 1).copied()
}

fn newest_crash(crashes: &[(BackendServerId, Timestamp)]) -> Timestamp {
    crashes.iter().map(|(_, seen_at)| *seen_at).max().unwrap_or_default()
}

/// Returns how long a request is quarantined that crashed so many servers after its quarantine had
/// begun.
fn quarantine_time(later_crash_count: usize) -> Duration {
    match u32::try_from(later_crash_count) {
        Ok(count) if count < MAX_LATER_TRIALS => QUARANTINE_TIME * 2_u32.pow(count),
        _ => FINAL_QUARANTINE_TIME,
    }
}

fn is_same_crash(one: &(BackendServerId, Timestamp), other: &(BackendServerId, Timestamp)) -> bool {
    one.0 == other.0 && one.1.abs_diff(other.1) < SERVER_DOWN_TIME
}
