//! Messages that reserve the tokens of a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{AttemptNumber, BudgetId, RequestKey, Tokens};
use crate::requests::key_entry::{AttemptRunner, KeyBinding, KeyState};
use crate::result_code::ResultCode;

/// Asks the owner to reserve the worst-case cost of one request.
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
    /// The VM and backend server that will run it.
    pub runner: AttemptRunner,
}

/// The owner's decision on an [`AdmitRequest`].
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmitDecision {
    /// The tokens are reserved; the router may dispatch this attempt.
    Admitted {
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// The key already has an entry; the router follows that request instead.
    Known(KeyState),
    /// The request may not run now.
    Refused {
        /// The reason.
        code: ResultCode,
        /// How long to wait before a retry, where a retry can succeed.
        #[serde_as(as = "Option<DurationMilliSeconds>")]
        retry_after: Option<Duration>,
    },
}
