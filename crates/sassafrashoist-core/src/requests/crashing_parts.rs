//! Finds the parts of prompts that crash the backend servers that answer on them.
//!
//! No two requests with such a part are alike, and other requests share its account and its other
//! parts. When a server ends, each shared part of each request that it had is a suspect. A complete
//! answer to a request that was sent after a crash clears the parts of its prompt from that crash:
//! the part that causes crashes is never cleared. What is left is compared:
//!
//! - A part is blamed when it explains [`CHAIN_CRASH_COUNT`] crashes in a chain, and no other part
//!   explains all of these. In a chain, each request was sent well after the crash before; servers
//!   that end at the same moment, for any reason, count as one.
//! - When [`MAX_UNDECIDED_CRASHES`] servers have ended under a part, it is blamed even if others
//!   explain the same crashes; these are blamed too.
//!
//! The part that explains the most crashes is judged first. No part is judged while an answer to a
//! request with it has been going on for some time: a popular part is then under way at several
//! servers that do not end, although none of its answers may be complete yet. Such an answer clears
//! nothing, because its server may still end.
//!
//! A crash of a server that had a request with a blamed part does not count against other parts, and
//! servers that end at the same instant have a common cause: only a part that all of them had counts.
//! A blamed part is tried again, one request at a time, after a time that grows with each crash.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::request_hash::PromptPartKey;
use crate::ids::{BackendServerId, Timestamp};

/// The number of crashes in a chain after which a part is blamed.
const CHAIN_CRASH_COUNT: usize = 3;
/// The time from a crash until requests are sent that count for the next link of a chain.
const MOMENT: Duration = Duration::from_millis(300);
/// Servers whose ends are seen less than this apart ended at the same instant; ends are seen some
/// network latency late.
const INSTANT: Duration = Duration::from_millis(40);
/// The most ends of servers that are remembered.
const MAX_ENDS: usize = 512;
/// How long a report that an answer goes on keeps a part from being judged; longer than the time
/// between two reports.
const GOING_ON_TIME: Duration = Duration::from_secs(2);
/// The number of crashes after which parts are blamed that no crash tells apart.
const MAX_UNDECIDED_CRASHES: usize = 5;
/// The time after these crashes in which a complete answer may still clear a part.
const ANSWER_TIME: Duration = Duration::from_millis(1_500);
/// The time after a blamed part's last crash until it is tried, by the number of crashes since it was
/// blamed.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(60)];
/// The time until a part is tried that has had all its trials.
const FINAL_TRIAL_DELAY: Duration = Duration::from_secs(86_400);
/// How long a crash counts against a part that is not blamed.
const SUSPICION_TIME: Duration = Duration::from_secs(60);
/// Crashes of a server that are reported less than this apart count as the same crash.
const SAME_CRASH_TIME: Duration = Duration::from_secs(2);
/// The most parts that are tracked.
const MAX_PARTS: usize = 4_096;

/// A crash of a server that had a request with a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartCrash {
    /// The part.
    pub part: PromptPartKey,
    /// The server.
    pub server_id: BackendServerId,
    /// When the crash was seen.
    pub seen_at: Timestamp,
    /// When the request was sent to the server; the last one, if it had several with the part.
    pub sent_at: Timestamp,
}

/// A crash, as part of a [`PartRecord`].
#[derive(Debug, Clone)]
struct Crash {
    server_id: BackendServerId,
    seen_at: Timestamp,
    sent_at: Timestamp,
}

/// What is known about one part.
#[derive(Debug, Default)]
struct PartRecord {
    /// In the order in which they were seen.
    crashes: Vec<Crash>,
    cleared_at: Option<Timestamp>,
    blamed_at: Option<Timestamp>,
    going_on_until: Option<Timestamp>,
    /// The crashes that were recorded, including those that it was cleared from.
    recorded_count: usize,
}

impl PartRecord {
    /// Returns whether what clears the part matters to other VMs: a part with one crash is far from
    /// being blamed, and when a server ends there are many of them.
    fn is_worth_telling(&self) -> bool {
        self.recorded_count > 1
    }

    fn newest_crash(&self) -> Timestamp {
        self.crashes.last().map(|crash| crash.seen_at).unwrap_or_default()
    }

    /// Returns when a request with the part may be sent again, if the part is blamed.
    fn trial_at(&self) -> Option<Timestamp> {
        let blamed_at = self.blamed_at?;
        let later_count = self.crashes.iter().filter(|crash| crash.seen_at > blamed_at).count();
        let delay = TRIAL_DELAYS.get(later_count).copied().unwrap_or(FINAL_TRIAL_DELAY);
        Some(blamed_at.max(self.newest_crash()) + delay)
    }
}

/// The parts of prompts that were in requests under which servers ended.
#[derive(Debug, Default)]
pub struct CrashingParts {
    parts: BTreeMap<PromptPartKey, PartRecord>,
    ends: BTreeMap<BackendServerId, Timestamp>,
}

impl CrashingParts {
    /// Records a crash; returns whether it was not known.
    pub fn record(&mut self, crash: &PartCrash) -> bool {
        if self.ends.len() < MAX_ENDS {
            self.ends.entry(crash.server_id.clone()).or_insert(crash.seen_at);
        }
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&crash.part) {
            self.evict();
        }
        let record = self.parts.entry(crash.part).or_default();
        if record.cleared_at.is_some_and(|at| crash.seen_at <= at) {
            return false;
        }
        let known = record.crashes.iter_mut().find(|known| {
            known.server_id == crash.server_id
                && known.seen_at.abs_diff(crash.seen_at) < SAME_CRASH_TIME
        });
        if let Some(known) = known {
            known.sent_at = known.sent_at.max(crash.sent_at);
            return false;
        }
        record.recorded_count += 1;
        let index = record.crashes.partition_point(|known| known.seen_at <= crash.seen_at);
        let (seen_at, sent_at) = (crash.seen_at, crash.sent_at);
        record
            .crashes
            .insert(index, Crash { server_id: crash.server_id.clone(), seen_at, sent_at });
        true
    }

    /// Records a complete answer to a request that was sent at `sent_at`, which clears a part from
    /// the crashes that were seen until then; returns whether there were any, and other VMs are to be
    /// told.
    pub fn clear(&mut self, part: PromptPartKey, sent_at: Timestamp) -> bool {
        let Some(record) = self.parts.get_mut(&part) else {
            return false;
        };
        if record.cleared_at.is_some_and(|at| sent_at <= at) {
            return false;
        }
        record.cleared_at = Some(sent_at);
        let crash_count = record.crashes.len();
        record.crashes.retain(|crash| crash.seen_at > sent_at);
        if record.crashes.len() < CHAIN_CRASH_COUNT {
            record.blamed_at = None;
        }
        record.crashes.len() < crash_count && record.is_worth_telling()
    }

    /// Records that answers to requests with a part go on; returns whether that is news and matters.
    pub fn record_going_on(&mut self, part: PromptPartKey, now: Timestamp) -> bool {
        let record = self.parts.get_mut(&part);
        let Some(record) =
            record.filter(|record| !record.crashes.is_empty() && record.is_worth_telling())
        else {
            return false;
        };
        let is_known = record.going_on_until.is_some_and(|until| now + GOING_ON_TIME / 2 < until);
        record.going_on_until = Some(now + GOING_ON_TIME);
        !is_known
    }

    /// Blames the parts that explain enough crashes; returns them. To be called at regular times, not
    /// for each report: it goes through all parts.
    pub fn evaluate(&mut self, now: Timestamp) -> Vec<PromptPartKey> {
        self.forget_old(now);
        let mut all_blamed = Vec::new();
        loop {
            let blamed = self.blame_most_suspicious(now);
            if blamed.is_empty() {
                return all_blamed;
            }
            all_blamed.extend(blamed);
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.ends.retain(|_, seen_at| now < *seen_at + SUSPICION_TIME);
        for record in self.parts.values_mut().filter(|record| record.blamed_at.is_none()) {
            record.crashes.retain(|crash| now < crash.seen_at + SUSPICION_TIME);
        }
        self.parts.retain(|_, record| {
            let is_cleared_recently = record.cleared_at.is_some_and(|at| now < at + SUSPICION_TIME);
            !record.crashes.is_empty() || is_cleared_recently
        });
    }

    /// Blames the parts that explain the most crashes, if these are enough.
    fn blame_most_suspicious(&mut self, now: Timestamp) -> Vec<PromptPartKey> {
        let explained: BTreeSet<&str> = self
            .parts
            .values()
            .filter(|record| record.blamed_at.is_some())
            .flat_map(|record| record.crashes.iter().map(|crash| crash.server_id.as_str()))
            .collect();
        let mut suspects: Vec<(PromptPartKey, Vec<&Crash>)> = Vec::new();
        for (part, record) in self.parts.iter().filter(|(_, record)| record.blamed_at.is_none()) {
            let goes_on = record.going_on_until.is_some_and(|until| now < until);
            if goes_on || record.crashes.len() < CHAIN_CRASH_COUNT {
                continue;
            }
            let crashes = record.crashes.iter();
            let unexplained: Vec<_> = crashes
                .filter(|crash| {
                    !explained.contains(crash.server_id.as_str())
                        && !self.ended_with_others(crash, record)
                })
                .collect();
            if unexplained.len() >= CHAIN_CRASH_COUNT {
                suspects.push((*part, unexplained));
            }
        }
        suspects.sort_by_key(|(_, crashes)| std::cmp::Reverse(crashes.len()));
        let mut blamed: Vec<PromptPartKey> = Vec::new();
        for (part, crashes) in &suspects {
            let mut equals = suspects.iter().filter(|(_, others)| explains_all(others, crashes));
            let is_distinct = equals.all(|(other, _)| other == part);
            if is_to_blame(crashes, is_distinct, now) {
                let equals = suspects.iter().filter(|(_, others)| {
                    others.len() == crashes.len() && explains_all(others, crashes)
                });
                blamed = equals.map(|(part, _)| *part).collect();
                break;
            }
        }
        for part in &blamed {
            if let Some(record) = self.parts.get_mut(part) {
                record.blamed_at = Some(now);
            }
        }
        blamed
    }

    /// Returns whether another server ended at the same instant that had no request with the part.
    fn ended_with_others(&self, crash: &Crash, record: &PartRecord) -> bool {
        let mut others = self
            .ends
            .iter()
            .filter(|(_, seen_at)| seen_at.abs_diff(crash.seen_at) < INSTANT)
            .map(|(server_id, _)| server_id);
        others.any(|server_id| record.crashes.iter().all(|known| known.server_id != *server_id))
    }

    /// Records that another VM has blamed a part, if the crashes are known that it takes.
    pub fn record_blame(&mut self, part: PromptPartKey, blamed_at: Timestamp) {
        let record = self.parts.get_mut(&part);
        if let Some(record) = record.filter(|record| record.crashes.len() >= CHAIN_CRASH_COUNT) {
            let earliest = record.blamed_at.unwrap_or(blamed_at);
            record.blamed_at = Some(blamed_at.min(earliest));
        }
    }

    /// Returns the blamed parts, and when each was blamed.
    pub fn blamed(&self) -> impl Iterator<Item = (PromptPartKey, Timestamp)> {
        self.parts.iter().filter_map(|(part, record)| Some((*part, record.blamed_at?)))
    }

    /// Returns when a request with a part may be sent again; `None` if the part is not blamed.
    pub fn trial_at(&self, part: PromptPartKey) -> Option<Timestamp> {
        self.parts.get(&part)?.trial_at()
    }

    /// Returns the crashes under a part.
    pub fn sightings_of(&self, part: PromptPartKey) -> Vec<PartCrash> {
        let crashes = self.parts.get(&part).into_iter().flat_map(|record| &record.crashes);
        crashes
            .map(|crash| PartCrash {
                part,
                server_id: crash.server_id.clone(),
                seen_at: crash.seen_at,
                sent_at: crash.sent_at,
            })
            .collect()
    }

    /// Returns whether crashes under a part are recorded.
    pub fn has_crashes(&self, part: PromptPartKey) -> bool {
        self.parts.get(&part).is_some_and(|record| !record.crashes.is_empty())
    }

    /// Returns the crashes of up to `max_count` parts with enough crashes to be blamed, those with the
    /// most first.
    pub fn sightings(&self, max_count: usize) -> Vec<PartCrash> {
        let mut parts: Vec<_> =
            self.parts.iter().filter(|(_, r)| r.crashes.len() >= CHAIN_CRASH_COUNT).collect();
        parts.sort_by_key(|(_, record)| {
            std::cmp::Reverse((
                record.blamed_at.is_some(),
                record.crashes.len(),
                record.newest_crash(),
            ))
        });
        parts.into_iter().take(max_count).flat_map(|(part, _)| self.sightings_of(*part)).collect()
    }

    /// Returns up to `max_count` parts that were cleared, and when the answered request was sent.
    pub fn cleared(&self, max_count: usize) -> Vec<(PromptPartKey, Timestamp)> {
        let mut cleared: Vec<_> =
            self.parts.iter().filter_map(|(part, r)| Some((*part, r.cleared_at?))).collect();
        cleared.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        cleared.truncate(max_count);
        cleared
    }

    /// Forgets the half of the parts that are the least suspicious, the oldest first.
    fn evict(&mut self) {
        let mut parts: Vec<_> = self
            .parts
            .iter()
            .map(|(part, record)| (record.blamed_at.is_some(), record.newest_crash(), *part))
            .collect();
        parts.sort_unstable();
        for (_, _, part) in parts.iter().take(MAX_PARTS / 2) {
            self.parts.remove(part);
        }
    }
}

/// Returns whether `crashes` include all of `others`.
fn explains_all(crashes: &[&Crash], others: &[&Crash]) -> bool {
    others.iter().all(|other| crashes.iter().any(|crash| crash.server_id == other.server_id))
}

/// Returns whether a part is to be blamed for these crashes; `is_distinct` if no other part explains
/// all of them.
fn is_to_blame(crashes: &[&Crash], is_distinct: bool, now: Timestamp) -> bool {
    if is_distinct && chain_length(crashes) >= CHAIN_CRASH_COUNT {
        return true;
    }
    crashes.get(MAX_UNDECIDED_CRASHES - 1).is_some_and(|crash| now >= crash.seen_at + ANSWER_TIME)
}

/// Returns the number of crashes in a chain, in which each request was sent well after the crash
/// before.
fn chain_length(crashes: &[&Crash]) -> usize {
    let mut length = 0;
    let mut seen_at = None;
    for crash in crashes {
        if seen_at.is_none_or(|before| crash.sent_at > before + MOMENT) {
            length += 1;
            seen_at = Some(crash.seen_at);
        }
    }
    length
}
