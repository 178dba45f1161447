//! An answer that says why a request was not served.

use std::time::Duration;

use sassafrashoist_core::result_code::{Outcome, ResultCode};

/// Why a request was not served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered result.
    pub code: ResultCode,
    /// What the caller is told of its request.
    pub outcome: Outcome,
    /// The reason in words.
    pub message: String,
    /// When to try again, where that can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses with the code's own outcome.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self { code, outcome: code.outcome(), message: message.into(), retry_after: None }
    }

    /// Refuses with the code's meaning as the message.
    pub fn of(code: ResultCode) -> Self {
        Self::new(code, code.meaning())
    }

    /// Suggests when to try again.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }
}
