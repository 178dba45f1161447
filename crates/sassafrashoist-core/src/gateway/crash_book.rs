//! What this VM knows about requests that crash backend servers.

use std::collections::HashMap;
use std::time::Duration;

use super::Uptime;
use super::crash_outbox::CrashOutbox;
use super::crash_report::{
    BlamedPart, ClearedParts, ClearedSuspect, CrashReport, SeenCrash, SeenPartCrash,
};
use super::crash_trials::{CrashTrials, TrialSubject};
use super::recent_answers::RecentAnswers;
use crate::ids::BackendServerId;
use crate::requests::crashing_parts::{CrashingParts, PartCrash};
use crate::requests::quarantine::{CrashSighting, QuarantineTable, RequestFingerprint};
use crate::requests::request_hash::{PromptPartKey, hash_body};

/// The most suspects that VMs send each other in one report, so that it fits into one message.
const MAX_SHARED_REQUESTS: usize = 256;
/// The most parts of prompts that VMs send each other in one report.
const MAX_SHARED_PARTS: usize = 128;
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

/// What was news in a report of another VM.
#[derive(Debug, Default)]
pub struct ReportedNews {
    /// Crashes under requests.
    pub crashes: Vec<SeenCrash>,
    /// Requests that are no longer suspects.
    pub cleared: Vec<ClearedSuspect>,
}

/// What this VM knows about requests that crash backend servers.
#[derive(Debug, Default)]
pub struct CrashBook {
    /// The suspected and quarantined requests.
    pub table: QuarantineTable,
    /// The requests that this VM passed complete answers of.
    pub answers: RecentAnswers,
    /// The parts of prompts that are suspected or blamed.
    pub parts: CrashingParts,
    /// The trials that this VM has granted.
    pub trials: CrashTrials,
    /// What other VMs are still to be told.
    pub outbox: CrashOutbox,
    ends: HashMap<BackendServerId, ServerEnd>,
    cleared: HashMap<RequestFingerprint, Uptime>,
    explained: HashMap<BackendServerId, Uptime>,
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
        if self.explained.contains_key(&crash.server_id) {
            return false;
        }
        self.table.record(&CrashSighting {
            fingerprint: crash.fingerprint.clone(),
            server_id: crash.server_id.clone(),
            seen_at,
        })
    }

    /// Records the end of a server under a request with parts in its prompt.
    pub fn record_part_crash(&mut self, crash: &SeenPartCrash, now: Uptime) {
        for part in &crash.parts {
            self.parts.record(&PartCrash {
                part: *part,
                server_id: crash.server_id.clone(),
                seen_at: now.saturating_sub(crash.seen_ago),
                sent_at: now.saturating_sub(crash.sent_ago),
            });
        }
    }

    /// Clears the parts of a prompt from the crashes that were seen until the request was sent;
    /// returns those that had any.
    pub fn clear_parts(&mut self, cleared: &ClearedParts, now: Uptime) -> Vec<PromptPartKey> {
        let sent_at = now.saturating_sub(cleared.sent_ago);
        let parts = cleared.parts.iter().copied();
        parts.filter(|part| self.parts.clear(*part, sent_at)).collect()
    }

    /// Records what another VM reports; returns what was news.
    pub fn record_report(&mut self, report: &CrashReport, now: Uptime) -> ReportedNews {
        for part in &report.parts_going_on {
            self.parts.record_going_on(*part, now);
        }
        for crash in &report.part_crashes {
            self.record_part_crash(crash, now);
        }
        let mut crashes = report.crashes.clone();
        crashes.retain(|crash| self.record_crash(crash, now));
        // A suspect is cleared only from crashes that are recorded, and blamed only if they remain.
        for cleared in &report.cleared_parts {
            self.clear_parts(cleared, now);
        }
        let mut cleared = report.cleared.clone();
        cleared.retain(|cleared| {
            let at = now.saturating_sub(cleared.cleared_ago);
            self.clear(&cleared.fingerprint, at, now)
        });
        for blamed in &report.blamed_parts {
            self.parts.record_blame(blamed.part, now.saturating_sub(blamed.blamed_ago));
        }
        ReportedNews { crashes, cleared }
    }

    /// Blames the parts that explain enough crashes, and returns them. Their crashes do not count
    /// against requests any more.
    pub fn blame_parts(&mut self, now: Uptime) -> Vec<PromptPartKey> {
        let blamed = self.parts.evaluate(now);
        if !blamed.is_empty() {
            self.explained.retain(|_, at| now < *at + MEMORY_TIME);
            let crashes = blamed.iter().flat_map(|part| self.parts.sightings_of(*part));
            let servers: Vec<_> = crashes.map(|crash| crash.server_id).collect();
            self.table.forget_servers(&servers);
            self.explained.extend(servers.into_iter().map(|server_id| (server_id, now)));
        }
        blamed
    }

    /// Returns the parts that are blamed, each with the time until a request with it may be tried.
    pub fn blamed_parts(
        &self,
        parts: &[PromptPartKey],
        now: Uptime,
    ) -> Vec<(PromptPartKey, Duration)> {
        let blamed = parts.iter().filter_map(|part| Some((*part, self.parts.trial_at(*part)?)));
        blamed.map(|(part, trial_at)| (part, trial_at.saturating_sub(now))).collect()
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
        let crashes = self.table.newest_sightings(MAX_SHARED_REQUESTS, now);
        let cleared = self.cleared.iter().map(|(fingerprint, at)| ClearedSuspect {
            fingerprint: fingerprint.clone(),
            cleared_ago: now.saturating_sub(*at),
        });
        let part_crashes = self.parts.sightings(MAX_SHARED_PARTS).into_iter();
        let cleared_parts = self.parts.cleared(MAX_SHARED_PARTS).into_iter();
        CrashReport {
            crashes: crashes.into_iter().map(|sighting| seen_crash(sighting, now)).collect(),
            cleared: cleared.collect(),
            part_crashes: part_crashes.map(|crash| seen_part_crash(crash, now)).collect(),
            cleared_parts: cleared_parts
                .map(|(part, at)| ClearedParts {
                    parts: vec![part],
                    sent_ago: now.saturating_sub(at),
                })
                .collect(),
            blamed_parts: self
                .parts
                .blamed()
                .map(|(part, at)| BlamedPart { part, blamed_ago: now.saturating_sub(at) })
                .collect(),
            parts_going_on: Vec::new(),
        }
    }

    /// Returns what this VM knows of one request or part.
    pub fn report_of(&self, subject: &TrialSubject, now: Uptime) -> CrashReport {
        let fingerprint = match subject {
            TrialSubject::Request(fingerprint) => fingerprint,
            TrialSubject::PromptPart(part) => {
                let crashes = self.parts.sightings_of(*part).into_iter();
                return CrashReport {
                    part_crashes: crashes.map(|crash| seen_part_crash(crash, now)).collect(),
                    ..CrashReport::default()
                };
            }
        };
        let crashes = self.table.sightings(fingerprint).into_iter();
        let cleared = self.cleared.get(fingerprint).map(|at| ClearedSuspect {
            fingerprint: fingerprint.clone(),
            cleared_ago: now.saturating_sub(*at),
        });
        CrashReport {
            crashes: crashes.map(|sighting| seen_crash(sighting, now)).collect(),
            cleared: cleared.into_iter().collect(),
            ..CrashReport::default()
        }
    }

    /// Returns a digest of the crashes of [`Self::report`]; it does not depend on their order.
    pub fn digest(&self, now: Uptime) -> u64 {
        let crashes = self.table.newest_sightings(MAX_SHARED_REQUESTS, now);
        let requests = crashes.iter().map(|crash| {
            let text = format!("{}/{}", crash.fingerprint, crash.server_id);
            hash_body(text.as_bytes()) as u64
        });
        let part_crashes = self.parts.sightings(MAX_SHARED_PARTS);
        let parts = part_crashes.iter().map(|crash| {
            hash_body(format!("{:x}/{}", crash.part, crash.server_id).as_bytes()) as u64
        });
        requests.chain(parts).fold(0, |digest, hash| digest ^ hash)
    }
}

fn seen_part_crash(crash: PartCrash, now: Uptime) -> SeenPartCrash {
    SeenPartCrash {
        parts: vec![crash.part],
        server_id: crash.server_id,
        seen_ago: now.saturating_sub(crash.seen_at),
        sent_ago: now.saturating_sub(crash.sent_at),
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
