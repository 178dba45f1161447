//! The reason why a request was not served, as reported to its caller.

use std::time::Duration;

use sassafrashoist_core::result_code::{Outcome, ResultCode};

/// The reason why a request was not served, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The result code.
    pub code: ResultCode,
    /// Whether the request was executed, as reported to the caller.
    pub outcome: Outcome,
    /// A human-readable reason.
    pub message: String,
    /// The suggested delay before a retry; `None` when a retry cannot help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with the default outcome of its code.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self { code, outcome: code.outcome(), message: message.into(), retry_after: None }
    }

    /// Creates a refusal whose message is the meaning of its code.
    pub fn of(code: ResultCode) -> Self {
        Self::new(code, code.meaning())
    }

    /// Sets the suggested delay before a retry.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }
}
