//! Replication messages between the primary and the backup of a shard.

use serde::{Deserialize, Serialize};

use super::owner_changes::OwnerChanges;
use super::transfer::TransferTable;
use crate::budgets::shard::ShardLocation;
use crate::ids::{Epoch, Incarnation};

/// The sequence number of a delta; it increases with each delta of a primary.
pub type Sequence = u64;

/// Changes that the primary sends to its backup before it returns their results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaDelta {
    /// The data centre and shard.
    #[serde(rename = "place")]
    pub location: ShardLocation,
    /// The primary's epoch.
    pub epoch: Epoch,
    /// The incarnation of the backup that the delta is addressed to; `None` while it is unknown.
    pub to_incarnation: Option<Incarnation>,
    /// The sequence number that the backup must have before the delta.
    pub from_sequence: Sequence,
    /// The sequence number that the backup has after the delta.
    pub to_sequence: Sequence,
    /// Whether the delta contains the whole state and needs no earlier delta.
    pub is_full: bool,
    /// The changed accounts and entries.
    pub changes: OwnerChanges,
    /// All transfers, if they changed or the delta is full.
    pub transfers: Option<TransferTable>,
}

/// The backup's response to a delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaResponse {
    /// The receiver has the state up to this sequence number.
    Applied(Sequence),
    /// The receiver lacks the state that the delta builds on, or the delta is full and not
    /// addressed to the receiver's incarnation. The value is that incarnation.
    NeedsFull(Incarnation),
    /// The receiver has seen this newer epoch, or is itself the primary of the delta's epoch. The
    /// sender is no longer the primary.
    StaleEpoch(Epoch),
}
