//! Alternative policies for holding budgets. docs/design/budgets.md compares them.

use serde::{Deserialize, Serialize};

/// How a data centre holds the tokens of its budgets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BudgetPolicy {
    /// A primary and a backup VM hold tokens drawn in advance; data centres transfer tokens.
    #[default]
    Pair,
    /// One VM without a backup holds a small chunk; data centres transfer tokens.
    ChunkLease,
    /// A primary and a backup VM hold the whole share; data centres transfer no tokens.
    EvenSplit,
    /// The tokens of each request are drawn through the log.
    ClaimPerRequest,
}

impl BudgetPolicy {
    /// Returns whether a backup must confirm each change before its result is returned.
    pub fn has_backup(self) -> bool {
        matches!(self, BudgetPolicy::Pair | BudgetPolicy::EvenSplit)
    }

    /// Returns whether data centres transfer tokens to each other.
    pub fn transfers_tokens(self) -> bool {
        matches!(self, BudgetPolicy::Pair | BudgetPolicy::ChunkLease)
    }
}
