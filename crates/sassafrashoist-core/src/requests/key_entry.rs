//! The state that the owner of a key stores about its request.

use serde::{Deserialize, Serialize};

use super::request_hash::BodyHash;
use crate::ids::{
    AttemptNumber, BackendServerId, BudgetId, ClientAccountId, Incarnation, RouteId, Timestamp,
    Tokens, VmId,
};
use crate::result_code::ResultCode;

/// What a key is bound to; a later request with the same key must match all of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyBinding {
    /// The client account that sent the request.
    pub account_id: ClientAccountId,
    /// The route it was sent to.
    pub route_id: RouteId,
    /// The hash of its body.
    pub body_hash: BodyHash,
}

/// A response that is stored, to be replayed to repeated requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
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
    /// The backend server that the router chose.
    pub server_id: BackendServerId,
}

/// The possible effects of the attempts before the current one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierAttempts {
    /// Whether any of them may have run.
    pub may_have_run: bool,
    /// The number of tokens that they are known to have used.
    pub spent_tokens: Tokens,
}

/// The state of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// An attempt is in progress.
    Running {
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The router that runs it.
        runner: AttemptRunner,
    },
    /// The request has run to completion.
    Done {
        /// The tokens billed.
        billed_tokens: Tokens,
        /// The result code.
        code: ResultCode,
        /// The response, while it is stored.
        #[serde(rename = "answer")]
        response: Option<StoredResponse>,
    },
    /// Whether the request ran cannot be determined; its reservation stays.
    Unknown,
}

/// The entry of one request key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// What the key is bound to.
    pub binding: KeyBinding,
    /// The budget that pays for the request.
    pub budget_id: BudgetId,
    /// The tokens reserved while the request is not settled.
    pub reserved_tokens: Tokens,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The number of the newest attempt.
    pub last_attempt: AttemptNumber,
    /// The possible effects of the attempts before it.
    pub earlier: EarlierAttempts,
    /// When the entry last changed.
    pub changed_at: Timestamp,
    /// The state of the request.
    pub state: KeyState,
}

impl KeyEntry {
    /// Returns whether the caller supplied the key, so that it may send the request again: such a
    /// key is prefixed with the id of the client account.
    pub fn has_caller_key(&self, key: &str) -> bool {
        let scoped = key.strip_prefix(self.binding.account_id.as_str());
        scoped.is_some_and(|rest| rest.starts_with('/'))
    }

    /// Returns whether the request is done and its outcome final.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, KeyState::Done { .. })
    }
}
