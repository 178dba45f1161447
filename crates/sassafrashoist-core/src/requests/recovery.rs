//! What follows a failed attempt, and when another VM takes a request over.
//!
//! A takeover never needs proof that the first VM is dead: the owner numbers the attempts, and a
//! request that is not idempotent is never sent again by the VM that took it over, which only learns
//! what became of it. So a paused VM that resumes finds its attempt superseded and nothing ran twice.

use std::time::Duration;

use super::retry_budget::RetryCause;

/// The most attempts of one request by one VM.
pub const MAX_ATTEMPTS: u32 = 4;
/// How long a VM may be silent before its requests are taken over.
pub const SILENT_RUNNER_BOUND: Duration = Duration::from_secs(1);

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The backend server refused to begin it for lack of room.
    Busy,
    /// The backend server provably did not see it.
    NotReached,
    /// The backend server may have begun it.
    AnswerLost,
}

/// Whether a request may be sent more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatRules {
    /// Whether the route is idempotent.
    pub is_idempotent: bool,
    /// Whether the service itself runs a request with a known key once only.
    pub service_deduplicates: bool,
}

impl RepeatRules {
    /// Returns whether a request that may have begun may be sent again.
    pub fn may_repeat(self) -> bool {
        self.is_idempotent || self.service_deduplicates
    }
}

/// Returns why a failed attempt may be repeated, or `None` when it may not.
///
/// `failed_count` counts the attempts of this VM that failed, with the last one.
pub fn repeat_cause(
    failure: AttemptFailure,
    rules: RepeatRules,
    failed_count: u32,
) -> Option<RetryCause> {
    if failed_count >= MAX_ATTEMPTS {
        return None;
    }
    match failure {
        AttemptFailure::Busy => Some(RetryCause::Busy),
        AttemptFailure::NotReached => Some(RetryCause::Failure),
        AttemptFailure::AnswerLost => rules.may_repeat().then_some(RetryCause::Failure),
    }
}

/// What another VM knows of the VM that runs an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerHealth {
    /// It answers, and is the process that began the attempt.
    Alive,
    /// It refuses connections or is a newer process.
    Gone,
    /// It has not answered for this long.
    Silent(Duration),
}

impl RunnerHealth {
    /// Returns whether another VM takes its requests over.
    pub fn allows_takeover(self) -> bool {
        match self {
            RunnerHealth::Alive => false,
            RunnerHealth::Gone => true,
            RunnerHealth::Silent(time) => time >= SILENT_RUNNER_BOUND,
        }
    }
}

/// What the backend server of a request says to the VM that took it over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKnowledge {
    /// It has the request's stream, from its start.
    Stream,
    /// It has no such request, or cannot be asked.
    Nothing,
}

/// How a request that was taken over goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recovery {
    /// The backend server's stream is passed on from its start; nothing runs again.
    Resume,
    /// The request is sent again.
    Repeat,
    /// Whether it ran cannot be known.
    Unknown,
}

/// Decides how a request that was taken over goes on.
pub fn decide_recovery(knowledge: ServerKnowledge, rules: RepeatRules) -> Recovery {
    match knowledge {
        ServerKnowledge::Stream => Recovery::Resume,
        ServerKnowledge::Nothing if rules.may_repeat() => Recovery::Repeat,
        ServerKnowledge::Nothing => Recovery::Unknown,
    }
}
