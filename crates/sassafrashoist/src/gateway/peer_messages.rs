//! The messages that VMs exchange about tokens.

use sassafrashoist_core::gateway::HolderId;
use sassafrashoist_core::gateway::token_holding::{AccountTokens, TransferId};
use sassafrashoist_core::ids::{ClientAccountId, Tokens};
use serde::{Deserialize, Serialize};

/// The path to which VMs send requests for tokens.
pub const TRANSFER_PATH: &str = "/transfer";

/// The path to which VMs send tokens that the receiver did not request.
pub const HAND_OVER_PATH: &str = "/hand-over";

/// Transfers tokens that the receiver did not request. A repeated message changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnrequestedTransfer {
    /// Identifies the transfer in repeated messages.
    pub transfer_id: TransferId,
    /// The receiving holder. Another incarnation on the same VM rejects the message.
    pub holder_id: HolderId,
    /// The tokens of each account.
    #[serde(rename = "given")]
    pub sent: Vec<AccountTokens>,
}

/// Requests tokens from another VM. The response to a repeated request repeats the tokens that were
/// sent before, which are deducted only once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenTransferRequest {
    /// Identifies the transfer in repeated requests.
    pub transfer_id: TransferId,
    /// The holder that receives the request. Another incarnation on the same VM sends no tokens.
    pub holder_id: HolderId,
    /// The account.
    pub account_id: ClientAccountId,
    /// The tokens that waiting requests need; 0 for a prefetch.
    pub needed_tokens: Tokens,
    /// The tokens desired in total, as far as the other VM has a surplus.
    #[serde(rename = "liked_tokens")]
    pub desired_tokens: Tokens,
}

/// The response to a [`TokenTransferRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenTransferResponse {
    /// The tokens sent.
    #[serde(rename = "given_tokens")]
    pub sent_tokens: Tokens,
    /// The tokens that the sender can still spend.
    #[serde(rename = "left_tokens")]
    pub remaining_tokens: i64,
    /// The tokens that the sending holder has used, including those reserved by requests in
    /// progress.
    pub spent_tokens: Tokens,
}
