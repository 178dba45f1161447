//! The promises of the system as counters that must stay 0.
//!
//! A decision that finds a promise broken calls [`Invariants::breach`]. The counter grows, the
//! reporter is told (the router logs the request and counts a metric), and a debug build panics.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// A promise of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum Promise {
    /// Tokens consumed from a budget beyond what was paid.
    OverspendTokens,
    /// Requests settled more than once.
    DoubleBills,
    /// Requests that consumed tokens and are neither settled nor reserved.
    Unbilled,
    /// Non-idempotent requests begun more than once.
    DoubleRuns,
    /// Callers told *not run* whose request ran.
    FalseNotRun,
    /// Answers, or parts, that belong to another request.
    CrossedAnswers,
    /// Answers that end short and say that they are complete.
    CutAnswers,
    /// A VM that goes from an accepted bundle to an older or a different one.
    RevertedBundles,
    /// Requests sent to a backend server too long after its leaving was published.
    LateWork,
    /// Requests cut by a graceful shutdown.
    DrainCuts,
}

impl Promise {
    /// All promises, in the order of their counters.
    pub const ALL: [Promise; 10] = [
        Promise::OverspendTokens,
        Promise::DoubleBills,
        Promise::Unbilled,
        Promise::DoubleRuns,
        Promise::FalseNotRun,
        Promise::CrossedAnswers,
        Promise::CutAnswers,
        Promise::RevertedBundles,
        Promise::LateWork,
        Promise::DrainCuts,
    ];

    /// The counter's name in metrics, state dumps and reports.
    pub fn name(self) -> &'static str {
        match self {
            Promise::OverspendTokens => "overspend_tokens",
            Promise::DoubleBills => "double_bills",
            Promise::Unbilled => "unbilled",
            Promise::DoubleRuns => "double_runs",
            Promise::FalseNotRun => "false_not_run",
            Promise::CrossedAnswers => "crossed_answers",
            Promise::CutAnswers => "cut_answers",
            Promise::RevertedBundles => "reverted_bundles",
            Promise::LateWork => "late_work",
            Promise::DrainCuts => "drain_cuts",
        }
    }
}

/// One finding that a promise was broken.
#[derive(Debug)]
pub struct Breach<'a> {
    /// The promise.
    pub promise: Promise,
    /// The request, budget or bundle that shows it.
    pub subject: &'a str,
    /// By how much the counter grows.
    pub amount: u64,
}

/// Is told of each breach.
pub type BreachReporter = fn(&Breach<'_>);

/// The counters of one process.
#[derive(Debug)]
pub struct Invariants {
    counters: [AtomicU64; Promise::ALL.len()],
    report: BreachReporter,
}

impl Default for Invariants {
    fn default() -> Self {
        Self::new(|_| {})
    }
}

impl Invariants {
    /// Creates counters at 0 whose breaches go to `report`.
    pub fn new(report: BreachReporter) -> Self {
        Self { counters: Default::default(), report }
    }

    /// Records a broken promise.
    ///
    /// # Panics
    ///
    /// Panics in a debug build.
    pub fn breach(&self, promise: Promise, subject: &str, amount: u64) {
        self.counters[promise as usize].fetch_add(amount, Ordering::Relaxed);
        (self.report)(&Breach { promise, subject, amount });
        if cfg!(debug_assertions) {
            panic!("promise {} broken by {amount} at {subject}", promise.name());
        }
    }

    /// Records a broken promise unless `holds`.
    pub fn check(&self, holds: bool, promise: Promise, subject: &str) {
        if !holds {
            self.breach(promise, subject, 1);
        }
    }

    /// Returns a counter's value.
    pub fn count(&self, promise: Promise) -> u64 {
        self.counters[promise as usize].load(Ordering::Relaxed)
    }

    /// Returns every counter by its name.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        Promise::ALL.into_iter().map(|promise| (promise.name(), self.count(promise))).collect()
    }
}
