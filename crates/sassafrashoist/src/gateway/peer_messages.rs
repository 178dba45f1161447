//! What VMs say to each other.

use sassafrashoist_core::gateway::HolderId;
use sassafrashoist_core::gateway::token_holding::TransferId;
use sassafrashoist_core::ids::{ClientAccountId, Tokens};
use serde::{Deserialize, Serialize};

/// The path on which VMs ask for tokens.
pub const TRANSFER_PATH: &str = "/transfer";

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
}
