//! The invariants of the system, as counters of violations that must stay 0.
//!
//! Code that detects a violation calls [`Invariants::record_violation`]. That increments the
//! counter and calls the reporter (the router logs the subject and increments a metric); a debug
//! build then panics.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// An invariant of the system. Each variant is named after what its counter counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum Invariant {
    /// Tokens consumed from a budget beyond what was paid.
    OverspendTokens,
    /// Requests settled more than once.
    DoubleBills,
    /// Requests that consumed tokens and are neither settled nor reserved.
    Unbilled,
    /// Non-idempotent requests started more than once.
    DoubleRuns,
    /// Requests that ran and were reported to their callers as *not run*.
    FalseNotRun,
    /// Responses, or parts of responses, that belong to another request.
    CrossedAnswers,
    /// Truncated responses that are marked as complete.
    CutAnswers,
    /// Bundles that are older than an accepted one, or differ from it under the same version.
    RevertedBundles,
    /// Requests sent to a backend server too long after it was published as leaving.
    LateWork,
    /// Requests aborted by a graceful shutdown.
    DrainCuts,
}

impl Invariant {
    /// All invariants, in the order of their counters.
    pub const ALL: [Invariant; 10] = [
        Invariant::OverspendTokens,
        Invariant::DoubleBills,
        Invariant::Unbilled,
        Invariant::DoubleRuns,
        Invariant::FalseNotRun,
        Invariant::CrossedAnswers,
        Invariant::CutAnswers,
        Invariant::RevertedBundles,
        Invariant::LateWork,
        Invariant::DrainCuts,
    ];

    /// The name of the counter in metrics, state dumps and reports.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::OverspendTokens => "overspend_tokens",
            Invariant::DoubleBills => "double_bills",
            Invariant::Unbilled => "unbilled",
            Invariant::DoubleRuns => "double_runs",
            Invariant::FalseNotRun => "false_not_run",
            Invariant::CrossedAnswers => "crossed_answers",
            Invariant::CutAnswers => "cut_answers",
            Invariant::RevertedBundles => "reverted_bundles",
            Invariant::LateWork => "late_work",
            Invariant::DrainCuts => "drain_cuts",
        }
    }
}

/// One detected violation of an invariant.
#[derive(Debug)]
pub struct Violation<'a> {
    /// The invariant.
    pub invariant: Invariant,
    /// The request, budget, bundle or backend server that it concerns.
    pub subject: &'a str,
    /// By how much the counter is incremented.
    pub amount: u64,
}

/// A function that is called for each violation.
pub type ViolationReporter = fn(&Violation<'_>);

/// The violation counters of one process.
#[derive(Debug)]
pub struct Invariants {
    counters: [AtomicU64; Invariant::ALL.len()],
    report: ViolationReporter,
}

impl Default for Invariants {
    fn default() -> Self {
        Self::new(|_| {})
    }
}

impl Invariants {
    /// Creates counters at 0; `report` is called for each violation.
    pub fn new(report: ViolationReporter) -> Self {
        Self { counters: Default::default(), report }
    }

    /// Records a violation.
    ///
    /// # Panics
    ///
    /// Panics in a debug build.
    pub fn record_violation(&self, invariant: Invariant, subject: &str, amount: u64) {
        self.counters[invariant as usize].fetch_add(amount, Ordering::Relaxed);
        (self.report)(&Violation { invariant, subject, amount });
        if cfg!(debug_assertions) {
            panic!("invariant {} violated by {amount} at {subject}", invariant.name());
        }
    }

    /// Records a violation unless `holds`.
    pub fn check(&self, holds: bool, invariant: Invariant, subject: &str) {
        if !holds {
            self.record_violation(invariant, subject, 1);
        }
    }

    /// Returns the number of violations of an invariant.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.counters[invariant as usize].load(Ordering::Relaxed)
    }

    /// Returns all counters by name.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        Invariant::ALL
            .into_iter()
            .map(|invariant| (invariant.name(), self.count(invariant)))
            .collect()
    }
}
