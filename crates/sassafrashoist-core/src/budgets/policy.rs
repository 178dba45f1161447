//! The ways of holding budgets that were weighed. docs/design/budgets.md compares them.

use serde::{Deserialize, Serialize};

/// How a data centre holds its tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BudgetPolicy {
    /// A primary and a backup VM hold what was drawn ahead; data centres move tokens.
    #[default]
    Pair,
    /// One VM holds a small chunk and has no backup; data centres move tokens.
    ChunkLease,
    /// A primary and a backup hold the share of the top-up; tokens never move.
    EvenSplit,
    /// Each request's tokens are drawn through the log.
    ClaimPerRequest,
}

impl BudgetPolicy {
    /// Returns whether a backup has each change before it is answered for.
    pub fn has_backup(self) -> bool {
        matches!(self, BudgetPolicy::Pair | BudgetPolicy::EvenSplit)
    }

    /// Returns whether data centres move tokens among them.
    pub fn moves_tokens(self) -> bool {
        matches!(self, BudgetPolicy::Pair | BudgetPolicy::ChunkLease)
    }
}
