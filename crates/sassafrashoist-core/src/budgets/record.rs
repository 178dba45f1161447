//! Records of the ledger stream, typed and versioned.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::escrow_account::EscrowAccount;
use super::shard::ShardPlace;
use super::view::View;
use crate::ids::{BudgetId, DataCentreId, Epoch, OperatorId, Tokens, TopUpId};

/// The record version that this code writes and reads.
pub const LEDGER_RECORD_VERSION: u16 = 1;

/// One record of the ledger stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// The version of the record's form.
    pub record_version: u16,
    /// What happened.
    pub event: LedgerEvent,
}

/// What a ledger record says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEvent {
    /// Tokens were paid for and split among data centres.
    TopUp {
        /// Names the top-up, which counts once.
        top_up_id: TopUpId,
        /// The budget.
        budget_id: BudgetId,
        /// The tokens paid.
        paid_tokens: Tokens,
        /// The part of each data centre; the parts add up to the tokens paid.
        split_tokens: BTreeMap<DataCentreId, Tokens>,
        /// The operator who recorded it.
        operator_id: OperatorId,
    },
    /// A VM proposes who holds a shard; the first record with the next epoch wins.
    View(View),
    /// The primary of a view takes tokens from its data centre's share.
    Draw(Draw),
}

/// Tokens that a primary takes from its data centre's share, and what it reports of its accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    /// The data centre and shard.
    pub place: ShardPlace,
    /// The epoch of the view; a draw of another epoch takes nothing.
    pub epoch: Epoch,
    /// Counts the draws of the epoch from 1, so that a repeated append takes nothing.
    pub draw_number: u64,
    /// The tokens taken of each budget; a part larger than the share's rest takes the rest.
    pub drawn_tokens: BTreeMap<BudgetId, Tokens>,
    /// The accounts as they stood before the draw.
    pub checkpoint: BTreeMap<BudgetId, EscrowAccount>,
}

/// Why a record cannot be folded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LedgerRecordError {
    /// The record is no JSON of the expected form.
    #[error("ledger record cannot be decoded: {0}")]
    Undecodable(String),
    /// The record was written by newer code.
    #[error("ledger record version {0} is unknown")]
    UnknownVersion(u16),
    /// The parts of a top-up do not add up.
    #[error("top-up {0} splits into other than what was paid")]
    UnevenSplit(TopUpId),
}

impl LedgerRecord {
    /// Wraps an event in the current version.
    pub fn new(event: LedgerEvent) -> Self {
        Self { record_version: LEDGER_RECORD_VERSION, event }
    }
}
