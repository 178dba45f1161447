//! Changes of an owner's table, as replicated to its backup.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budgets::escrow_account::EscrowAccount;
use crate::ids::{BudgetId, RequestKey, Timestamp};
use crate::requests::key_entry::KeyEntry;

/// Accounts and entries as they are after the changes, so that applying them twice has no effect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerChanges {
    /// The accounts that changed.
    pub accounts: BTreeMap<BudgetId, EscrowAccount>,
    /// When entries were lost because the primary and the backup of the shard lost their state.
    pub entries_lost_at: Option<Timestamp>,
    /// The entries that changed; `None` for one that was removed.
    pub keys: BTreeMap<RequestKey, Option<KeyEntry>>,
}
