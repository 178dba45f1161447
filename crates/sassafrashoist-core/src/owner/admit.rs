//! The messages by which a request asks for its tokens.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{AttemptNumber, BudgetId, RequestKey, Tokens};
use crate::requests::key_entry::{AttemptRunner, KeyBinding, KeyState};
use crate::result_code::ResultCode;

/// Asks to reserve the worst case of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmitRequest {
    /// The request's key.
    pub key: RequestKey,
    /// What the key is bound to.
    pub binding: KeyBinding,
    /// The budget that pays.
    pub budget_id: BudgetId,
    /// The most that the request can cost.
    pub worst_case_tokens: Tokens,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Who will run it.
    pub runner: AttemptRunner,
}

/// What the owner decided.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmitDecision {
    /// The tokens are reserved; the caller may dispatch this attempt.
    Admitted {
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// The key is known; the caller follows that request instead.
    Known(KeyState),
    /// The request may not run now.
    Refused {
        /// Why.
        code: ResultCode,
        /// When to try again, where that can help.
        #[serde_as(as = "Option<DurationMilliSeconds>")]
        retry_after: Option<Duration>,
    },
}
