//! Messages that record the cost and outcome of a request.

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
        /// The response to keep for repeated requests, where the caller gave the request's key.
        #[serde(rename = "answer")]
        response: Option<StoredResponse>,
    },
    /// Provably no backend server started it; the reservation is released.
    NotRun,
    /// Whether it ran cannot be determined; the reservation stays.
    Unknown,
}

/// Asks the owner to settle an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The request's key.
    pub key: RequestKey,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: SettleOutcome,
    /// The result code of the request.
    pub code: ResultCode,
}

/// Asks the owner to start the next attempt of a request on another backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RedirectRequest {
    /// The request's key.
    pub key: RequestKey,
    /// The number of the attempt that ended, or whose runner has failed.
    pub from_attempt: AttemptNumber,
    /// What the attempts up to that one may have done.
    pub earlier: EarlierAttempts,
    /// The VM and backend server that run the next attempt.
    pub runner: AttemptRunner,
}

/// The owner's decision on a [`SettleRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleDecision {
    /// The outcome was recorded.
    Settled {
        /// The tokens billed.
        billed_tokens: Tokens,
    },
    /// The entry was already closed; nothing changed.
    AlreadySettled,
    /// A newer attempt is running; nothing changed.
    SupersededAttempt,
    /// The owner has no entry for the key.
    UnknownKey,
}
