//! Decaying count of the tokens of each budget that were settled here.

use std::collections::BTreeMap;

use crate::budgets::escrow_account::EscrowAccount;
use crate::ids::{BudgetId, Tokens};

/// Each observation halves the use counted before it.
const DECAY_DIVISOR: Tokens = 2;

/// Recent use by budget; a budget without use has no entry.
#[derive(Debug, Default)]
pub struct RecentUse {
    counted_tokens: BTreeMap<BudgetId, Tokens>,
    recent_tokens: BTreeMap<BudgetId, Tokens>,
}

impl RecentUse {
    /// Decays the earlier use and adds the tokens settled since the last observation.
    pub fn observe<'a>(
        &mut self,
        accounts: impl Iterator<Item = (&'a BudgetId, &'a EscrowAccount)>,
    ) {
        self.recent_tokens.retain(|_, tokens| {
            *tokens /= DECAY_DIVISOR;
            *tokens > 0
        });
        for (budget_id, account) in accounts.filter(|(_, account)| account.settled_tokens > 0) {
            let counted = self.counted_tokens.entry(budget_id.clone()).or_default();
            let used_tokens = account.settled_tokens.saturating_sub(*counted);
            *counted = account.settled_tokens;
            if used_tokens > 0 {
                *self.recent_tokens.entry(budget_id.clone()).or_default() += used_tokens;
            }
        }
    }

    /// Returns the recent use of a budget in tokens.
    pub fn of(&self, budget_id: &str) -> Tokens {
        self.recent_tokens.get(budget_id).copied().unwrap_or(0)
    }

    /// Returns the budgets in use.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetId> {
        self.recent_tokens.keys()
    }
}
