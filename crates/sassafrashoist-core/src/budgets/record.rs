//! Records of the ledger stream, typed and versioned.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::escrow_account::EscrowAccount;
use super::shard::ShardLocation;
use super::view::View;
use crate::ids::{BudgetId, DataCentreId, Epoch, OperatorId, Tokens, TopUpId};

/// The record version that this code writes and reads.
pub const LEDGER_RECORD_VERSION: u16 = 1;

/// One record of the ledger stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// The version of the record's format.
    pub record_version: u16,
    /// The event.
    pub event: LedgerEvent,
}

/// The event of a ledger record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEvent {
    /// Tokens were paid for and split among data centres.
    TopUp {
        /// Identifies the top-up, so that a repeated record counts once.
        top_up_id: TopUpId,
        /// The budget.
        budget_id: BudgetId,
        /// The tokens paid for.
        paid_tokens: Tokens,
        /// The part of each data centre; the parts add up to the tokens paid for.
        split_tokens: BTreeMap<DataCentreId, Tokens>,
        /// The operator who recorded it.
        operator_id: OperatorId,
    },
    /// A VM proposes the primary and backup of a shard; the first valid record with the next epoch
    /// wins.
    View(View),
    /// The primary of a view draws tokens from its data centre's share.
    Draw(Draw),
}

/// Tokens that a primary draws from its data centre's share, and a checkpoint of its accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    /// The data centre and shard.
    #[serde(rename = "place")]
    pub location: ShardLocation,
    /// The epoch of the view; a draw of another epoch has no effect.
    pub epoch: Epoch,
    /// Counts the draws of the epoch from 1, so that a repeated append has no effect.
    pub draw_number: u64,
    /// The tokens to draw of each budget; limited to what is undrawn in the share.
    pub drawn_tokens: BTreeMap<BudgetId, Tokens>,
    /// The accounts as they were before the draw.
    pub checkpoint: BTreeMap<BudgetId, EscrowAccount>,
}

/// Why a record cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LedgerRecordError {
    /// The record is not JSON of the expected format.
    #[error("ledger record cannot be decoded: {0}")]
    Undecodable(String),
    /// The record was written by newer code.
    #[error("ledger record version {0} is unknown")]
    UnknownVersion(u16),
    /// The parts of a top-up do not add up.
    #[error("parts of top-up {0} do not add up to the tokens paid")]
    SplitMismatch(TopUpId),
}

impl LedgerRecord {
    /// Wraps an event in a record of the current version.
    pub fn new(event: LedgerEvent) -> Self {
        Self { record_version: LEDGER_RECORD_VERSION, event }
    }
}
