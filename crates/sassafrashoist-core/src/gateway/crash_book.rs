//! What this VM knows about requests that crash backend servers.

use std::collections::HashMap;
use std::time::Duration;

use super::Uptime;
use super::crash_report::{ClearedSuspect, CrashReport, SeenCrash};
use super::crash_trials::CrashTrials;
use super::recent_answers::RecentAnswers;
use crate::ids::BackendServerId;
use crate::requests::quarantine::{CrashSighting, QuarantineTable, RequestFingerprint};
use crate::requests::request_hash::hash_body;

/// The most suspects that VMs send each other in one report, so that it fits into one message.
const MAX_SHARED_REQUESTS: usize = 256;
/// The most cleared suspects, and ended servers, that are remembered.
const MAX_REMEMBERED: usize = 256;
/// How long a cleared suspect, or an ended server, is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(30);

/// The end of a server.
#[derive(Debug)]
struct ServerEnd {
    seen_at: Uptime,
    last_begun_at: Uptime,
    last_begun: RequestFingerprint,
}

/// What this VM knows about requests that crash backend servers.
#[derive(Debug, Default)]
pub struct CrashBook {
    /// The suspected and quarantined requests.
    pub table: QuarantineTable,
    /// The requests that this VM passed complete answers of.
    pub answers: RecentAnswers,
    /// The trials that this VM has granted.
    pub trials: CrashTrials,
    ends: HashMap<BackendServerId, ServerEnd>,
    cleared: HashMap<RequestFingerprint, Uptime>,
}

impl CrashBook {
    /// Records the end of a server under a request; returns whether it was not known.
    pub fn record_crash(&mut self, crash: &SeenCrash, now: Uptime) -> bool {
        let seen_at = now.saturating_sub(crash.seen_ago);
        let begun_at = seen_at.saturating_sub(crash.ran_for);
        self.ends.retain(|_, end| now < end.seen_at + MEMORY_TIME);
        if self.ends.len() < MAX_REMEMBERED {
            let end = self.ends.entry(crash.server_id.clone()).or_insert_with(|| ServerEnd {
                seen_at,
                last_begun_at: begun_at,
                last_begun: crash.fingerprint.clone(),
            });
            if begun_at > end.last_begun_at {
                end.last_begun_at = begun_at;
                end.last_begun = crash.fingerprint.clone();
            }
        }
        self.table.record(&CrashSighting {
            fingerprint: crash.fingerprint.clone(),
            server_id: crash.server_id.clone(),
            seen_at,
        })
    }

    /// Returns whether, of all requests that a server is known to have had when it ended, this one
    /// was sent to it last. A request crashes a server when it begins to run.
    pub fn was_last_begun(&self, fingerprint: &RequestFingerprint, server_id: &str) -> bool {
        self.ends.get(server_id).is_some_and(|end| end.last_begun == *fingerprint)
    }

    /// Clears a suspect of the crashes that were seen until `at`; returns whether it had any.
    pub fn clear(&mut self, fingerprint: &RequestFingerprint, at: Uptime, now: Uptime) -> bool {
        if !self.table.has_crashes(fingerprint) {
            return false;
        }
        self.table.record_harmless(fingerprint, at);
        self.cleared.retain(|_, cleared_at| now < *cleared_at + MEMORY_TIME);
        if self.cleared.len() < MAX_REMEMBERED {
            self.cleared.insert(fingerprint.clone(), at);
        }
        !self.table.has_crashes(fingerprint)
    }

    /// Returns what this VM knows, as far as it fits into one message.
    pub fn report(&self, now: Uptime) -> CrashReport {
        let crashes = self.table.newest_sightings(MAX_SHARED_REQUESTS);
        let cleared = self.cleared.iter().map(|(fingerprint, at)| ClearedSuspect {
            fingerprint: fingerprint.clone(),
            cleared_ago: now.saturating_sub(*at),
        });
        CrashReport {
            crashes: crashes.into_iter().map(|sighting| seen_crash(sighting, now)).collect(),
            cleared: cleared.collect(),
        }
    }

    /// Returns what this VM knows of one request.
    pub fn report_of(&self, fingerprint: &RequestFingerprint, now: Uptime) -> CrashReport {
        let crashes = self.table.sightings(fingerprint).into_iter();
        let cleared = self.cleared.get(fingerprint).map(|at| ClearedSuspect {
            fingerprint: fingerprint.clone(),
            cleared_ago: now.saturating_sub(*at),
        });
        CrashReport {
            crashes: crashes.map(|sighting| seen_crash(sighting, now)).collect(),
            cleared: cleared.into_iter().collect(),
        }
    }

    /// Returns a digest of the crashes of [`Self::report`]; it does not depend on their order.
    pub fn digest(&self) -> u64 {
        let crashes = self.table.newest_sightings(MAX_SHARED_REQUESTS);
        let hashes = crashes.iter().map(|crash| {
            let text = format!("{}/{}", crash.fingerprint, crash.server_id);
            hash_body(text.as_bytes()) as u64
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }
}

fn seen_crash(sighting: CrashSighting, now: Uptime) -> SeenCrash {
    SeenCrash {
        fingerprint: sighting.fingerprint,
        server_id: sighting.server_id,
        seen_ago: now.saturating_sub(sighting.seen_at),
        ran_for: Duration::ZERO,
    }
}
