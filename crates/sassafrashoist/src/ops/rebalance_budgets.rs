//! Requests tokens of the budgets in use here from data centres that use them less.

use futures::future::join_all;

use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use crate::ops::find_tokens::list_other_data_centres;
use crate::ops::move_tokens::request_tokens;
use sassafrashoist_core::ids::{BudgetId, DataCentreId};
use sassafrashoist_core::owner::rebalance::{BalanceReport, choose_rebalance_requests};

/// Measures the recent use of the budgets that this VM is the primary for, and requests the tokens
/// that those in use lack.
pub async fn rebalance_budgets(context: &RouterContext) {
    if !context.settings.budget_policy.transfers_tokens() {
        return;
    }
    let budget_ids = context.tables.lock_owner().observe_use();
    let rebalancing = budget_ids.iter().map(|budget_id| rebalance_budget(context, budget_id));
    join_all(rebalancing).await;
}

async fn rebalance_budget(context: &RouterContext, budget_id: &BudgetId) {
    let others = list_other_data_centres(context);
    let reads = others.iter().map(|id| request_balance(context, id, budget_id));
    let reports = join_all(reads).await;
    let reports: Vec<(DataCentreId, BalanceReport)> = others
        .into_iter()
        .zip(reports)
        .filter_map(|(id, report)| Some((id, report.ok()?)))
        .collect();
    let own = context.tables.lock_owner().balance(budget_id);
    for request in choose_rebalance_requests(own, &reports) {
        request_tokens(context, &request.data_centre_id, budget_id, request.tokens, false).await;
    }
}

async fn request_balance(
    context: &RouterContext,
    data_centre_id: &DataCentreId,
    budget_id: &BudgetId,
) -> Result<BalanceReport, PeerError> {
    let vm_id = context
        .owner_vm(data_centre_id, budget_id)
        .ok_or_else(|| PeerError::UnknownVm(format!("of data centre {data_centre_id}")))?;
    let peer_request = context.peers.request(budget_id)?;
    let response = context.peers.owner_client(&vm_id)?.balance(peer_request).await;
    decode_response(&vm_id, response)
}
