//! What the owner of a key knows of its request.

use serde::{Deserialize, Serialize};

use super::request_hash::BodyHash;
use crate::ids::{
    AttemptNumber, BackendServerId, BudgetId, ClientAccountId, Incarnation, RouteId, Timestamp,
    Tokens, VmId,
};
use crate::result_code::ResultCode;

/// What a key is bound to; a later request under the key must match all of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyBinding {
    /// The client account that sent the request.
    pub account_id: ClientAccountId,
    /// The route it was sent to.
    pub route_id: RouteId,
    /// The hash of its body.
    pub body_hash: BodyHash,
}

/// An answer that is kept for repeated requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub http_status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: String,
    /// The body, byte for byte.
    pub body: Vec<u8>,
}

/// The router that runs an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRunner {
    /// The router's VM.
    pub vm_id: VmId,
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// The backend server that was chosen.
    pub server_id: BackendServerId,
}

/// What the attempts before the current one may have done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierAttempts {
    /// Whether one of them may have run.
    pub may_have_run: bool,
    /// The tokens that they are known to have used.
    pub spent_tokens: Tokens,
}

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// An attempt is in progress.
    Running {
        /// Its number.
        attempt: AttemptNumber,
        /// Who runs it.
        runner: AttemptRunner,
    },
    /// It ran to its end.
    Done {
        /// The tokens billed.
        billed_tokens: Tokens,
        /// Its result.
        code: ResultCode,
        /// Its answer, while it is kept.
        answer: Option<KeptAnswer>,
    },
    /// Whether it ran cannot be known; its reservation stays.
    Unknown,
}

/// The entry of one request key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// What the key is bound to.
    pub binding: KeyBinding,
    /// The budget that pays.
    pub budget_id: BudgetId,
    /// The tokens reserved while the request is not settled.
    pub reserved_tokens: Tokens,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The number of the newest attempt.
    pub last_attempt: AttemptNumber,
    /// What the attempts before it may have done.
    pub earlier: EarlierAttempts,
    /// When the entry last changed.
    pub changed_at: Timestamp,
    /// Where the request stands.
    pub state: KeyState,
}

impl KeyEntry {
    /// Returns whether the request's caller gave its key, so that it may send it again.
    pub fn is_keyed(&self, key: &str) -> bool {
        let scoped = key.strip_prefix(self.binding.account_id.as_str());
        scoped.is_some_and(|rest| rest.starts_with('/'))
    }

    /// Returns whether the request's outcome is known for good.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, KeyState::Done { .. })
    }
}
