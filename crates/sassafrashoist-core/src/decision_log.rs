//! A bounded record of the decisions of one process, newest last.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::ids::{BundleVersion, RequestKey, Timestamp, VmId};
use crate::result_code::ResultCode;

/// The subject of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// Whether a caller is authenticated.
    Authenticate,
    /// Whether a request may spend.
    Admit,
    /// Which backend server runs an attempt.
    Route,
    /// What a request cost.
    Settle,
    /// What response a caller received.
    Answer,
    /// Which bundle is active.
    Bundle,
    /// Which VMs are members.
    Membership,
    /// Which commands a backend server receives.
    Order,
    /// Which requests are quarantined.
    Quarantine,
    /// How tokens were transferred.
    Transfer,
}

/// One decision and its reason.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// When the decision was taken.
    pub at: Timestamp,
    /// The VM that took it.
    pub vm_id: VmId,
    /// The bundle version that was active.
    pub bundle_version: BundleVersion,
    /// The key of the request, or an empty string when the decision is about no request.
    pub key: RequestKey,
    /// The subject of the decision.
    pub kind: DecisionKind,
    /// The result of the decision.
    pub code: ResultCode,
    /// The reason, as readable text.
    pub reason: String,
}

/// Keeps the newest decisions up to a bound.
#[derive(Debug)]
pub struct DecisionLog {
    decisions: VecDeque<Decision>,
    max_count: usize,
}

impl DecisionLog {
    /// Creates an empty log that keeps `max_count` decisions.
    pub fn new(max_count: usize) -> Self {
        Self { decisions: VecDeque::new(), max_count }
    }

    /// Adds a decision and drops the oldest beyond the bound.
    pub fn record(&mut self, decision: Decision) {
        if self.decisions.len() == self.max_count {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// Returns the decisions about `key`, oldest first.
    pub fn explain(&self, key: &str) -> Vec<Decision> {
        self.decisions.iter().filter(|decision| decision.key == key).cloned().collect()
    }

    /// Returns the newest `count` decisions, oldest first.
    pub fn newest(&self, count: usize) -> Vec<Decision> {
        let skipped = self.decisions.len().saturating_sub(count);
        self.decisions.iter().skip(skipped).cloned().collect()
    }
}
