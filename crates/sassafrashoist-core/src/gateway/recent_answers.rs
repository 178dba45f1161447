//! The requests that backend servers answered completely a short time ago.
//!
//! A complete answer shows that a request does not crash the servers that run it, so that the crash
//! of a server under a copy of it has another cause.

use std::collections::HashSet;
use std::time::Duration;

use super::Uptime;
use crate::requests::quarantine::RequestFingerprint;

/// How long an answer is remembered at least; up to twice as long.
const MEMORY_TIME: Duration = Duration::from_secs(5);
/// The most requests that are remembered of each [`MEMORY_TIME`].
const MAX_REQUESTS: usize = 8_192;

/// The requests that backend servers answered completely a short time ago.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    current: HashSet<RequestFingerprint>,
    previous: HashSet<RequestFingerprint>,
    began_at: Uptime,
}

impl RecentAnswers {
    /// Records a complete answer.
    pub fn record(&mut self, fingerprint: &RequestFingerprint, now: Uptime) {
        self.age(now);
        if self.current.len() < MAX_REQUESTS {
            self.current.insert(fingerprint.clone());
        }
    }

    /// Returns whether a request was answered completely a short time ago.
    pub fn contains(&mut self, fingerprint: &RequestFingerprint, now: Uptime) -> bool {
        self.age(now);
        self.current.contains(fingerprint) || self.previous.contains(fingerprint)
    }

    fn age(&mut self, now: Uptime) {
        if now >= self.began_at + MEMORY_TIME * 2 {
            self.current.clear();
            self.previous.clear();
            self.began_at = now;
        } else if now >= self.began_at + MEMORY_TIME {
            self.previous = std::mem::take(&mut self.current);
            self.began_at += MEMORY_TIME;
        }
    }
}
