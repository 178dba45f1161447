//! The result of an experiment.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

use crate::fleet::audit::Audit;

/// The result of an experiment.
#[derive(Debug, Clone, Serialize)]
pub struct ExperimentReport {
    /// The name of the experiment.
    pub experiment: &'static str,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The policy that was used, in experiments that compare policies.
    pub policy: Option<String>,
    /// Requests sent.
    pub requests: u64,
    /// Requests answered with success.
    pub answered: u64,
    /// The counters of invariant violations, which must be 0.
    #[serde(flatten)]
    pub invariant_violations: BTreeMap<&'static str, u64>,
    /// The experiment's own figures.
    #[serde(flatten)]
    pub figures: BTreeMap<String, Value>,
    /// The requirements of the experiment, besides the invariants, that were not met.
    pub failures: Vec<String>,
}

impl ExperimentReport {
    /// Starts a report.
    pub fn new(experiment: &'static str, seed: u64) -> Self {
        Self {
            experiment,
            seed,
            policy: None,
            requests: 0,
            answered: 0,
            invariant_violations: BTreeMap::new(),
            figures: BTreeMap::new(),
            failures: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn set(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_owned(), value.into());
    }

    /// Sets the invariant counters to those of an audit.
    pub fn record_audit(&mut self, audit: &Audit) {
        self.invariant_violations = audit.violations.clone();
    }

    /// Records the requirement as a failure unless it is met.
    pub fn require(&mut self, is_met: bool, requirement: impl Into<String>) {
        if !is_met {
            self.failures.push(requirement.into());
        }
    }

    /// Returns whether no invariant was violated and every requirement was met.
    pub fn has_passed(&self) -> bool {
        self.failures.is_empty() && self.invariant_violations.values().all(|count| *count == 0)
    }

    /// Formats the report as a short table.
    pub fn format_table(&self) -> String {
        let mut text = format!(
            "{}  seed {}  requests {}  answered {}\n",
            self.experiment, self.seed, self.requests, self.answered
        );
        for (name, count) in &self.invariant_violations {
            text.push_str(&format!("  {name:<32} {count}\n"));
        }
        for (name, value) in &self.figures {
            text.push_str(&format!("  {name:<32} {value}\n"));
        }
        for failure in &self.failures {
            text.push_str(&format!("  not met: {failure}\n"));
        }
        text
    }
}
