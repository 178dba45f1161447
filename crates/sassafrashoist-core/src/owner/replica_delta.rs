//! The messages between the primary and the backup of a shard.

use serde::{Deserialize, Serialize};

use super::owner_changes::OwnerChanges;
use super::transfer::TransferTable;
use crate::budgets::shard::ShardPlace;
use crate::ids::{Epoch, Incarnation};

/// Counts the deltas of a primary; it only grows.
pub type Sequence = u64;

/// Changes that the primary sends to its backup before it answers for them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaDelta {
    /// The data centre and shard.
    pub place: ShardPlace,
    /// The primary's epoch.
    pub epoch: Epoch,
    /// The incarnation of the backup that the delta is meant for; `None` while it is not known.
    pub to_incarnation: Option<Incarnation>,
    /// The sequence that the backup must have.
    pub from_sequence: Sequence,
    /// The sequence that the backup has afterwards.
    pub to_sequence: Sequence,
    /// Whether the delta holds the whole state and needs none before it.
    pub is_full: bool,
    /// The changed accounts and entries.
    pub changes: OwnerChanges,
    /// The transfers, when they changed.
    pub transfers: Option<TransferTable>,
}

/// What the backup did with a delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaAnswer {
    /// It has the state up to this sequence.
    Applied(Sequence),
    /// It lacks the state that the delta builds on.
    NeedsFull(Incarnation),
    /// It knows a newer epoch; the sender is no longer the primary.
    StaleEpoch(Epoch),
}
