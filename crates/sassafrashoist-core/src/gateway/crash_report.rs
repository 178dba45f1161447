//! What VMs tell each other about requests that crash backend servers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::BackendServerId;
use crate::requests::quarantine::RequestFingerprint;
use crate::requests::request_hash::PromptPartKey;

/// A backend server that ended while it had a request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenCrash {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The server.
    pub server_id: BackendServerId,
    /// The time since the end of the server was seen.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "seen_ago_ms")]
    pub seen_ago: Duration,
    /// The time from when the request was sent to the server until then.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ran_for_ms")]
    pub ran_for: Duration,
}

/// A backend server that ended while it had a request with these parts in its prompt.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenPartCrash {
    /// The parts.
    pub parts: Vec<PromptPartKey>,
    /// The server.
    pub server_id: BackendServerId,
    /// The time since the end of the server was seen.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "seen_ago_ms")]
    pub seen_ago: Duration,
    /// The time since the request was sent to the server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "sent_ago_ms")]
    pub sent_ago: Duration,
}

/// Parts of the prompt of a request that a backend server answered completely.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedParts {
    /// The parts.
    pub parts: Vec<PromptPartKey>,
    /// The time since the request was sent to the server. Crashes that were seen before do not count.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "sent_ago_ms")]
    pub sent_ago: Duration,
}

/// A suspect that a backend server answered completely.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedSuspect {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The time since it was cleared. Crashes that were seen before do not count.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cleared_ago_ms")]
    pub cleared_ago: Duration,
}

/// A part of prompts that is blamed for crashes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlamedPart {
    /// The part.
    pub part: PromptPartKey,
    /// The time since it was blamed; the crashes since then were trials.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "blamed_ago_ms")]
    pub blamed_ago: Duration,
}

/// What a VM knows about crashes, or what it has just learned.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes.
    pub crashes: Vec<SeenCrash>,
    /// Suspects that were cleared.
    pub cleared: Vec<ClearedSuspect>,
    /// Crashes under parts of prompts.
    pub part_crashes: Vec<SeenPartCrash>,
    /// Parts of prompts that were cleared.
    pub cleared_parts: Vec<ClearedParts>,
    /// Parts of prompts that are blamed.
    pub blamed_parts: Vec<BlamedPart>,
    /// Parts of prompts on which answers go on.
    pub parts_going_on: Vec<PromptPartKey>,
}

impl CrashReport {
    /// Appends another report.
    pub fn append(&mut self, mut other: Self) {
        self.crashes.append(&mut other.crashes);
        self.cleared.append(&mut other.cleared);
        self.part_crashes.append(&mut other.part_crashes);
        self.cleared_parts.append(&mut other.cleared_parts);
        self.blamed_parts.append(&mut other.blamed_parts);
        self.parts_going_on.append(&mut other.parts_going_on);
    }

    /// Splits the report into parts of at most `max_bytes`, as measured by `encoded_bytes`. An entry
    /// that is longer by itself is a part of its own.
    pub fn split(
        self,
        max_bytes: usize,
        encoded_bytes: impl Fn(&CrashReport) -> usize,
    ) -> Vec<Self> {
        let mut parts: Vec<Self> = Vec::new();
        let mut last_bytes: usize = 0;
        for entry in self.into_entries() {
            // Joining two reports makes them shorter, never longer.
            let entry_bytes = encoded_bytes(&entry);
            match parts.last_mut() {
                Some(last) if last_bytes.saturating_add(entry_bytes) <= max_bytes => {
                    last.append(entry);
                    last_bytes += entry_bytes;
                }
                Some(_) | None => {
                    parts.push(entry);
                    last_bytes = entry_bytes;
                }
            }
        }
        parts
    }

    /// Splits the report into reports with one entry each.
    fn into_entries(self) -> Vec<Self> {
        let mut entries = Vec::new();
        let mut add = |entry: Self| entries.push(entry);
        self.crashes.into_iter().for_each(|c| add(Self { crashes: vec![c], ..Self::default() }));
        self.cleared.into_iter().for_each(|c| add(Self { cleared: vec![c], ..Self::default() }));
        for crash in self.part_crashes {
            add(Self { part_crashes: vec![crash], ..Self::default() });
        }
        for cleared in self.cleared_parts {
            add(Self { cleared_parts: vec![cleared], ..Self::default() });
        }
        for blamed in self.blamed_parts {
            add(Self { blamed_parts: vec![blamed], ..Self::default() });
        }
        for part in self.parts_going_on {
            add(Self { parts_going_on: vec![part], ..Self::default() });
        }
        entries
    }

    /// Adds the time that has passed since the report was made.
    pub fn add_age(&mut self, age: Duration) {
        self.crashes.iter_mut().for_each(|crash| crash.seen_ago += age);
        self.cleared.iter_mut().for_each(|cleared| cleared.cleared_ago += age);
        for crash in &mut self.part_crashes {
            crash.seen_ago += age;
            crash.sent_ago += age;
        }
        self.cleared_parts.iter_mut().for_each(|cleared| cleared.sent_ago += age);
        self.blamed_parts.iter_mut().for_each(|blamed| blamed.blamed_ago += age);
    }
}
