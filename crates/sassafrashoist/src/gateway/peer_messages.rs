//! What VMs say to each other.

use sassafrashoist_core::gateway::HolderId;
use sassafrashoist_core::gateway::token_holding::{AccountTokens, TransferId};
use sassafrashoist_core::ids::{ClientAccountId, Tokens};
use serde::{Deserialize, Serialize};

/// The path on which VMs ask for tokens.
pub const TRANSFER_PATH: &str = "/transfer";

/// The path on which VMs hand tokens over.
pub const HAND_OVER_PATH: &str = "/hand-over";

/// Hands tokens over to another VM. A repeated message changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// Names the message.
    pub transfer_id: TransferId,
    /// The run that is to take them in; another run on the same VM refuses them.
    pub holder_id: HolderId,
    /// The tokens.
    pub given: Vec<AccountTokens>,
}

/// Asks another VM for tokens. A repeated question gets the first answer again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferQuestion {
    /// Names the question.
    pub transfer_id: TransferId,
    /// The run that is asked; another run on the same VM gives nothing.
    pub holder_id: HolderId,
    /// The account.
    pub account_id: ClientAccountId,
    /// What a waiting request needs.
    pub needed_tokens: Tokens,
    /// What would be liked, if the other VM has plenty.
    pub liked_tokens: Tokens,
}

/// The answer to a question for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferAnswer {
    /// The tokens given.
    pub given_tokens: Tokens,
    /// The tokens that the giver still has.
    pub left_tokens: i64,
    /// The tokens that the giver's run used, with those that requests in progress may still use.
    pub spent_tokens: Tokens,
}
