//! The deterministic fold of the ledger stream.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::record::{LEDGER_RECORD_VERSION, LedgerEvent, LedgerRecord, LedgerRecordError};
use crate::ids::{BudgetId, DataCentreId, LogOffset, Tokens, TopUpId};

/// What the log says of one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetLedger {
    /// The tokens paid in all top-ups.
    pub paid_tokens: Tokens,
    /// The tokens given to each data centre in all top-ups.
    pub granted_tokens: BTreeMap<DataCentreId, Tokens>,
    /// The top-ups counted.
    pub top_up_ids: BTreeSet<TopUpId>,
}

/// A change that the fold made, for the owner of the budget in a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The budget.
    pub budget_id: BudgetId,
    /// The data centre whose owner gets the tokens.
    pub data_centre_id: DataCentreId,
    /// The tokens it gets.
    pub granted_tokens: Tokens,
}

/// The fold of all records up to an offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The offset of the next record to fold.
    pub next_offset: LogOffset,
    /// The budgets by id.
    pub budgets: BTreeMap<BudgetId, BudgetLedger>,
}

impl Ledger {
    /// Folds one record and returns the grants that it makes.
    ///
    /// A record at an offset already folded changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the record's version is unknown or a top-up's parts do not add up; the fold then
    /// stays as it was.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: &LedgerRecord,
    ) -> Result<Vec<Grant>, LedgerRecordError> {
        if offset < self.next_offset {
            return Ok(Vec::new());
        }
        if record.record_version != LEDGER_RECORD_VERSION {
            return Err(LedgerRecordError::UnknownVersion(record.record_version));
        }
        let grants = self.apply_event(&record.event)?;
        self.next_offset = offset + 1;
        Ok(grants)
    }

    fn apply_event(&mut self, event: &LedgerEvent) -> Result<Vec<Grant>, LedgerRecordError> {
        match event {
            LedgerEvent::TopUp { top_up_id, budget_id, paid_tokens, split_tokens, .. } => {
                let split_sum = split_tokens.values().try_fold(0u64, |sum, t| sum.checked_add(*t));
                if split_sum != Some(*paid_tokens) {
                    return Err(LedgerRecordError::UnevenSplit(top_up_id.clone()));
                }
                let budget = self.budgets.entry(budget_id.clone()).or_default();
                if !budget.top_up_ids.insert(top_up_id.clone()) {
                    return Ok(Vec::new());
                }
                budget.paid_tokens = budget.paid_tokens.saturating_add(*paid_tokens);
                Ok(grant_parts(budget, budget_id, split_tokens))
            }
        }
    }
}

fn grant_parts(
    budget: &mut BudgetLedger,
    budget_id: &BudgetId,
    split_tokens: &BTreeMap<DataCentreId, Tokens>,
) -> Vec<Grant> {
    let mut grants = Vec::new();
    for (data_centre_id, tokens) in split_tokens {
        *budget.granted_tokens.entry(data_centre_id.clone()).or_default() += tokens;
        grants.push(Grant {
            budget_id: budget_id.clone(),
            data_centre_id: data_centre_id.clone(),
            granted_tokens: *tokens,
        });
    }
    grants
}
