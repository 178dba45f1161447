//! Transfers of tokens between the owners of two data centres.
//!
//! The sender deducts the tokens and keeps the transfer until the receiver has acknowledged it; the
//! receiver credits each transfer once. Each replicates its change to its backup before it sends
//! the transfer or the acknowledgement. A transfer is identified by its sender's shard location, an
//! epoch and an increasing number. Each message carries the lowest number that the sender still
//! keeps, so the receiver can forget all numbers below it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::budgets::shard::ShardLocation;
use crate::ids::{BudgetId, DataCentreId, Epoch, Tokens};

/// The number of a transfer in its sender's series.
pub type TransferNumber = u64;

/// Tokens in transfer from one data centre to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The sender's shard location.
    pub from: ShardLocation,
    /// The epoch in which the sender began this series of numbers.
    pub series_epoch: Epoch,
    /// The number of the transfer.
    pub number: TransferNumber,
    /// The lowest number that the sender still keeps; lower ones are acknowledged.
    pub lowest_open_number: TransferNumber,
    /// The receiving data centre.
    pub to_data_centre_id: DataCentreId,
    /// The budget.
    pub budget_id: BudgetId,
    /// The tokens.
    pub tokens: Tokens,
}

/// Requests tokens from another data centre's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// The requesting data centre, which receives the tokens.
    pub to_data_centre_id: DataCentreId,
    /// The budget.
    pub budget_id: BudgetId,
    /// The tokens that the requesting data centre lacks.
    #[serde(rename = "wanted_tokens")]
    pub requested_tokens: Tokens,
    /// Whether requests are waiting for the tokens; the sender then sends at least half of what it
    /// holds, to cover later requests too.
    pub is_urgent: bool,
}

/// The transfers that an owner sent and received.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferTable {
    series_epoch: Epoch,
    next_number: TransferNumber,
    open: BTreeMap<TransferNumber, Transfer>,
    #[serde(rename = "taken")]
    received: BTreeMap<(ShardLocation, Epoch), ReceivedNumbers>,
}

/// The transfers received of one series; every number below the floor was received.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ReceivedNumbers {
    floor: TransferNumber,
    numbers: BTreeSet<TransferNumber>,
}

impl TransferTable {
    /// Creates an empty table that begins a new series of numbers in an epoch.
    pub fn new(series_epoch: Epoch) -> Self {
        Self { series_epoch, ..Self::default() }
    }

    /// Assigns a number to a transfer and keeps it until it is acknowledged.
    pub fn open(
        &mut self,
        from: ShardLocation,
        request: TransferRequest,
        tokens: Tokens,
    ) -> Transfer {
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

    /// Removes an acknowledged transfer; false when it was not open.
    pub fn acknowledge(&mut self, transfer: &Transfer) -> bool {
        let is_own = transfer.series_epoch == self.series_epoch;
        is_own && self.open.remove(&transfer.number).is_some()
    }

    /// Records a received transfer and returns whether it arrived for the first time.
    pub fn record_received(&mut self, transfer: &Transfer) -> bool {
        let series = (transfer.from.clone(), transfer.series_epoch);
        let received = self.received.entry(series).or_default();
        let is_first =
            transfer.number >= received.floor && received.numbers.insert(transfer.number);
        received.floor = received.floor.max(transfer.lowest_open_number);
        received.numbers = received.numbers.split_off(&received.floor);
        is_first
    }

    fn lowest_open_number(&self) -> TransferNumber {
        self.open.keys().next().copied().unwrap_or(self.next_number)
    }
}
