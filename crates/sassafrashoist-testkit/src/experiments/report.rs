//! The result of an experiment.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

use crate::fleet::audit::Audit;

/// The result of an experiment.
#[derive(Debug, Clone, Serialize)]
pub struct ExperimentReport {
    /// Its name.
    pub experiment: &'static str,
    /// Its seed.
    pub seed: u64,
    /// The way that was run, where ways were weighed.
    pub policy: Option<String>,
    /// Requests sent.
    pub requests: u64,
    /// Requests answered with success.
    pub answered: u64,
    /// The counters that must be 0.
    #[serde(flatten)]
    pub promises: BTreeMap<&'static str, u64>,
    /// The experiment's own figures.
    #[serde(flatten)]
    pub figures: BTreeMap<String, Value>,
    /// What the experiment requires beyond the promises and did not get.
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
            promises: BTreeMap::new(),
            figures: BTreeMap::new(),
            failures: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn set(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_owned(), value.into());
    }

    /// Takes over the counters of an audit.
    pub fn take_audit(&mut self, audit: &Audit) {
        self.promises = audit.violations.clone();
    }

    /// Records a requirement that was not met.
    pub fn require(&mut self, is_met: bool, requirement: impl Into<String>) {
        if !is_met {
            self.failures.push(requirement.into());
        }
    }

    /// Returns whether every promise and requirement held.
    pub fn is_passed(&self) -> bool {
        self.failures.is_empty() && self.promises.values().all(|count| *count == 0)
    }

    /// Formats the report as a short table.
    pub fn format_table(&self) -> String {
        let mut text = format!(
            "{}  seed {}  requests {}  answered {}\n",
            self.experiment, self.seed, self.requests, self.answered
        );
        for (name, count) in &self.promises {
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
