//! Changes of an owner's table, as they go to its backup.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budgets::escrow_account::EscrowAccount;
use crate::ids::{BudgetId, RequestKey, Timestamp};
use crate::requests::key_entry::KeyEntry;

/// Accounts and entries as they stand after the changes, so that a repetition has no effect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerChanges {
    /// The accounts that changed.
    pub accounts: BTreeMap<BudgetId, EscrowAccount>,
    /// When entries of unknown keys were lost with both holders of the shard.
    pub entries_lost_at: Option<Timestamp>,
    /// The entries that changed; `None` for one that was removed.
    pub keys: BTreeMap<RequestKey, Option<KeyEntry>>,
}
