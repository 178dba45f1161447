//! Records a payment for tokens in the ledger.

use std::collections::BTreeMap;

use eyre::{Result, WrapErr, ensure, eyre};
use serde::Serialize;

use crate::core::ctl_context::CtlContext;
use crate::ops::queries::read_bundle_chain::read_bundle_chain;
use sassafrashoist_core::budgets::record::{LedgerEvent, LedgerRecord};
use sassafrashoist_core::budgets::split::split_by_weight;
use sassafrashoist_core::ids::{BudgetId, DataCentreId, LogOffset, Tokens, TopUpId};
use sassafrashoist_platform::streams::LEDGER_STREAM;

/// A recorded top-up.
#[derive(Debug, Clone, Serialize)]
pub struct RecordedTopUp {
    /// Its id.
    pub top_up_id: TopUpId,
    /// The offset of its record in the ledger.
    pub offset: LogOffset,
    /// The tokens granted to each data centre.
    pub split_tokens: BTreeMap<DataCentreId, Tokens>,
}

/// A top-up to record.
#[derive(Debug, Clone)]
pub struct TopUp {
    /// Identifies the top-up, so that a retry with the same id is counted once.
    pub top_up_id: TopUpId,
    /// The budget's id.
    pub budget_id: BudgetId,
    /// The number of tokens paid for.
    pub paid_tokens: Tokens,
    /// The weight of each data centre; empty for an even split.
    pub weights: BTreeMap<DataCentreId, u64>,
}

/// Records a top-up in the ledger.
///
/// # Errors
///
/// Fails when no tokens are paid, when the budget or a data centre is not in the active bundle, or
/// when the record cannot be appended to the ledger.
pub async fn top_up_budget(context: &CtlContext, top_up: TopUp) -> Result<RecordedTopUp> {
    ensure!(top_up.paid_tokens > 0, "expected 1 token or more");
    let state = read_bundle_chain(context).await?;
    let bundle = &state
        .chain
        .active_bundle()
        .ok_or_else(|| eyre!("no bundle is in force; push one"))?
        .bundle;
    ensure!(
        bundle.budgets.iter().any(|budget| budget.id == top_up.budget_id),
        "budget {:?} is not in bundle version {}",
        top_up.budget_id,
        bundle.version
    );
    let mut weights: BTreeMap<DataCentreId, u64> =
        bundle.data_centres.iter().map(|data_centre| (data_centre.id.clone(), 0)).collect();
    for (data_centre_id, weight) in &top_up.weights {
        ensure!(
            weights.insert(data_centre_id.clone(), *weight).is_some(),
            "data centre {data_centre_id:?} is not in bundle version {}",
            bundle.version
        );
    }
    let split_tokens = split_by_weight(top_up.paid_tokens, &weights);
    let record = LedgerRecord::new(LedgerEvent::TopUp {
        top_up_id: top_up.top_up_id.clone(),
        budget_id: top_up.budget_id,
        paid_tokens: top_up.paid_tokens,
        split_tokens: split_tokens.clone(),
        operator_id: context.settings.operator_id.clone(),
    });
    let payload = serde_json::to_vec(&record)?;
    let expected = payload.clone();
    let offset = context
        .platform
        .append_once(LEDGER_STREAM, payload, |found| found == expected.as_slice())
        .await
        .wrap_err("failed to record the top-up; run the command again with the same id")?;
    Ok(RecordedTopUp { top_up_id: top_up.top_up_id, offset, split_tokens })
}
