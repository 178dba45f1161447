//! The trials of requests, and of parts of prompts, that are suspected of crashing backend servers.
//!
//! One VM, selected by rendezvous hashing, grants the trials of a subject to all VMs, so that
//! its requests run one at a time however many VMs have one.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::Uptime;
use crate::requests::quarantine::RequestFingerprint;
use crate::requests::request_hash::PromptPartKey;

/// Identifies a trial.
pub type TrialId = u64;

/// What is on trial.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TrialSubject {
    /// All copies of a request.
    Request(RequestFingerprint),
    /// All requests with a part in their prompts.
    PromptPart(PromptPartKey),
}

impl fmt::Display for TrialSubject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(formatter, "request {fingerprint}"),
            Self::PromptPart(part) => write!(formatter, "part {part:016x}"),
        }
    }
}

/// The trials in progress that one VM has granted.
#[derive(Debug, Default)]
pub struct CrashTrials {
    active: HashMap<TrialSubject, ActiveTrial>,
}

#[derive(Debug)]
struct ActiveTrial {
    id: TrialId,
    ends_at: Uptime,
}

impl CrashTrials {
    /// Grants a trial that ends at `ends_at` at the latest; false while another one of the same
    /// subject is in progress.
    #[must_use]
    pub fn try_start(
        &mut self,
        subject: &TrialSubject,
        id: TrialId,
        ends_at: Uptime,
        now: Uptime,
    ) -> bool {
        self.active.retain(|_, trial| now < trial.ends_at);
        if self.active.contains_key(subject) {
            return false;
        }
        self.active.insert(subject.clone(), ActiveTrial { id, ends_at });
        true
    }

    /// Ends a trial.
    pub fn end(&mut self, subject: &TrialSubject, id: TrialId) {
        if self.active.get(subject).is_some_and(|trial| trial.id == id) {
            self.active.remove(subject);
        }
    }
}
