//! The messages by which a request's cost and outcome are recorded.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptNumber, RequestKey, Tokens};
use crate::requests::key_entry::{AttemptRunner, EarlierAttempts, StoredResponse};
use crate::result_code::ResultCode;

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleOutcome {
    /// It ran; the tokens used are billed.
    Ran {
        /// The tokens used.
        used_tokens: Tokens,
        /// The answer to keep, where the request has a caller's key.
        answer: Option<StoredResponse>,
    },
    /// Provably no backend server began it; the reservation is released.
    NotRun,
    /// Whether it ran cannot be known; the reservation stays.
    Unknown,
}

/// Closes an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The request's key.
    pub key: RequestKey,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: SettleOutcome,
    /// Its result.
    pub code: ResultCode,
}

/// Records that an attempt goes to another backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RedirectRequest {
    /// The request's key.
    pub key: RequestKey,
    /// The number of the attempt that ended, or whose runner is gone.
    pub from_attempt: AttemptNumber,
    /// What that attempt may have done.
    pub earlier: EarlierAttempts,
    /// Who runs the next attempt.
    pub runner: AttemptRunner,
}

/// What the owner did with a settlement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleDecision {
    /// The entry was closed now.
    Settled {
        /// The tokens billed.
        billed_tokens: Tokens,
    },
    /// The entry was closed before; nothing changed.
    AlreadySettled,
    /// A newer attempt runs; nothing changed.
    SupersededAttempt,
    /// The key is not known here.
    UnknownKey,
}
