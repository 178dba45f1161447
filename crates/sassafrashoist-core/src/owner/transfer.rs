//! Tokens that move between the owners of two data centres.
//!
//! The giver deducts the tokens and keeps the transfer until the taker has acknowledged it; the
//! taker credits an id once. Both have a copy at their backup before the message leaves. A transfer
//! is named by its giver's place and epoch and a number that grows. Each message carries the lowest
//! number that the giver still keeps, below which the taker can forget.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::budgets::shard::ShardPlace;
use crate::ids::{BudgetId, DataCentreId, Epoch, Tokens};

/// Numbers the transfers of a giver.
pub type TransferNumber = u64;

/// Tokens on their way from one data centre to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The place that gives.
    pub from: ShardPlace,
    /// The epoch in which the giver began to number its transfers.
    pub series_epoch: Epoch,
    /// The number of the transfer.
    pub number: TransferNumber,
    /// The lowest number that the giver keeps.
    pub lowest_open_number: TransferNumber,
    /// The data centre that takes.
    pub to_data_centre_id: DataCentreId,
    /// The budget.
    pub budget_id: BudgetId,
    /// The tokens.
    pub tokens: Tokens,
}

/// Asks another data centre's owner for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// The data centre that asks.
    pub to_data_centre_id: DataCentreId,
    /// The budget.
    pub budget_id: BudgetId,
    /// The tokens that it lacks.
    pub wanted_tokens: Tokens,
    /// Whether requests wait for them; the giver then gives ahead of the next ask too.
    pub is_urgent: bool,
}

/// The transfers that an owner gave and took.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferTable {
    series_epoch: Epoch,
    next_number: TransferNumber,
    open: BTreeMap<TransferNumber, Transfer>,
    taken: BTreeMap<(ShardPlace, Epoch), TakenNumbers>,
}

/// The transfers taken from one series; every number below the floor was taken.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TakenNumbers {
    floor: TransferNumber,
    numbers: BTreeSet<TransferNumber>,
}

impl TransferTable {
    /// Creates an empty table whose transfers are numbered under an epoch.
    pub fn new(series_epoch: Epoch) -> Self {
        Self { series_epoch, ..Self::default() }
    }

    /// Numbers a transfer and keeps it until it is acknowledged.
    pub fn open(&mut self, from: ShardPlace, request: TransferRequest, tokens: Tokens) -> Transfer {
        let number = self.next_number;
        self.next_number += 1;
        let transfer = Transfer {
            from,
            series_epoch: self.series_epoch,
            number,
            lowest_open_number: self.lowest_open_number(),
            to_data_centre_id: request.to_data_centre_id,
            budget_id: request.budget_id,
            tokens,
        };
        self.open.insert(number, transfer.clone());
        transfer
    }

    /// Returns the transfers that are not acknowledged.
    pub fn open_transfers(&self) -> Vec<Transfer> {
        let lowest_open_number = self.lowest_open_number();
        let open = self.open.values().cloned();
        open.map(|transfer| Transfer { lowest_open_number, ..transfer }).collect()
    }

    /// Forgets an acknowledged transfer; false when it was not kept.
    pub fn acknowledge(&mut self, transfer: &Transfer) -> bool {
        let is_own = transfer.series_epoch == self.series_epoch;
        is_own && self.open.remove(&transfer.number).is_some()
    }

    /// Returns whether a transfer arrives for the first time, and remembers it.
    pub fn take(&mut self, transfer: &Transfer) -> bool {
        let series = (transfer.from.clone(), transfer.series_epoch);
        let taken = self.taken.entry(series).or_default();
        let is_first = transfer.number >= taken.floor && taken.numbers.insert(transfer.number);
        taken.floor = taken.floor.max(transfer.lowest_open_number);
        taken.numbers = taken.numbers.split_off(&taken.floor);
        is_first
    }

    fn lowest_open_number(&self) -> TransferNumber {
        self.open.keys().next().copied().unwrap_or(self.next_number)
    }
}
