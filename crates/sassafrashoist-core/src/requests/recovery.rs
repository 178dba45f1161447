//! Whether a failed attempt is retried, and when another VM takes a request over.
//!
//! A takeover never needs proof that the first VM is dead: the owner numbers the attempts, and the
//! VM that takes over a request that is not idempotent never sends it again, but only finds out its
//! outcome. So a paused VM that resumes finds its attempt superseded, and nothing ran twice.

use std::time::Duration;

use super::retry_budget::RetryCause;

/// The maximum number of attempts of one request by one VM.
pub const MAX_ATTEMPTS: u32 = 4;
/// How long a VM may be unresponsive before its requests are taken over.
pub const UNRESPONSIVE_RUNNER_TIMEOUT: Duration = Duration::from_secs(1);

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The backend server was too busy and refused to start it.
    Busy,
    /// The backend server provably did not receive it.
    NotReached,
    /// The backend server may have started it, and its response was lost.
    ResponseLost,
}

/// Whether a request may be sent more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRules {
    /// Whether the route is idempotent.
    pub is_idempotent: bool,
    /// Whether the service itself runs a request only once per key.
    pub service_deduplicates: bool,
}

impl RetryRules {
    /// Returns whether a request that may have started may be sent again.
    pub fn may_rerun(self) -> bool {
        self.is_idempotent || self.service_deduplicates
    }
}

/// Returns the cause of a retry after a failed attempt, or `None` when it may not be retried.
///
/// `failed_count` is the number of this VM's attempts that failed, including the last one.
pub fn retry_cause(
    failure: AttemptFailure,
    rules: RetryRules,
    failed_count: u32,
) -> Option<RetryCause> {
    if failed_count >= MAX_ATTEMPTS {
        return None;
    }
    match failure {
        AttemptFailure::Busy => Some(RetryCause::Busy),
        AttemptFailure::NotReached => Some(RetryCause::Failure),
        AttemptFailure::ResponseLost => rules.may_rerun().then_some(RetryCause::Failure),
    }
}

/// The health of the VM that runs an attempt, as another VM sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerHealth {
    /// It responds, and is the process that started the attempt.
    Alive,
    /// It refuses connections, is a newer process or no longer runs the request.
    Gone,
    /// It has not responded for this long.
    Unresponsive(Duration),
}

impl RunnerHealth {
    /// Returns whether another VM may take its requests over.
    pub fn allows_takeover(self) -> bool {
        match self {
            RunnerHealth::Alive => false,
            RunnerHealth::Gone => true,
            RunnerHealth::Unresponsive(time) => time >= UNRESPONSIVE_RUNNER_TIMEOUT,
        }
    }
}

/// The result when a VM that took a request over asks the backend server for the request's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamLookup {
    /// The backend server has the stream from its start.
    Found,
    /// The backend server has no such request, or cannot be reached.
    Unavailable,
}

/// How a request that was taken over continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recovery {
    /// The backend server's stream is forwarded from its start; nothing runs again.
    Resume,
    /// The request is sent again.
    Retry,
    /// Whether the request ran cannot be determined.
    Unknown,
}

/// Decides how a request that was taken over continues.
pub fn decide_recovery(lookup: StreamLookup, rules: RetryRules) -> Recovery {
    match lookup {
        StreamLookup::Found => Recovery::Resume,
        StreamLookup::Unavailable if rules.may_rerun() => Recovery::Retry,
        StreamLookup::Unavailable => Recovery::Unknown,
    }
}
