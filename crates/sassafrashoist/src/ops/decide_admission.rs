//! Decides admissions, settlements and redirects at the primary of a budget's shard.

use tokio::time::Instant;

use crate::core::clock::read_clock;
use crate::core::router_context::RouterContext;
use crate::ops::commit_change::{CommitError, commit_change};
use crate::ops::find_tokens::{TokenSearch, find_tokens};
use sassafrashoist_core::ids::{AttemptNumber, BudgetId, RequestKey};
use sassafrashoist_core::owner::admit::{AdmitDecision, AdmitRequest};
use sassafrashoist_core::owner::settle::{
    RedirectRequest, SettleDecision, SettleOutcome, SettleRequest,
};
use sassafrashoist_core::owner::shard_table::ShardChange;
use sassafrashoist_core::requests::key_entry::KeyEntry;
use sassafrashoist_core::result_code::ResultCode;

/// Reserves a request's tokens at this VM. If the budget is short here, searches for more tokens
/// before it refuses the request.
///
/// # Errors
///
/// Fails when this VM is not the primary for the budget, or its backup does not confirm the change.
pub async fn decide_admission(
    context: &RouterContext,
    request: AdmitRequest,
) -> Result<AdmitDecision, CommitError> {
    let started_at = Instant::now();
    loop {
        let decision = try_admission(context, &request).await?;
        let AdmitDecision::Refused { code: ResultCode::BudgetShortHere, .. } = decision else {
            return Ok(decision);
        };
        match find_tokens(context, &request.budget_id, request.worst_case_tokens, started_at).await
        {
            TokenSearch::TryAgain => {}
            TokenSearch::Refuse { code, retry_after } => {
                return Ok(AdmitDecision::Refused { code, retry_after: Some(retry_after) });
            }
        }
    }
}

/// Settles a request's entry at this VM.
///
/// # Errors
///
/// Fails when this VM is not the primary for the budget, or its backup does not confirm the change.
pub async fn decide_settlement(
    context: &RouterContext,
    budget_id: &str,
    request: SettleRequest,
) -> Result<SettleDecision, CommitError> {
    let settled = {
        let mut owner = context.tables.lock_owner();
        owner.settle(budget_id, request, read_clock(), &context.invariants)
    };
    commit_result(context, settled).await
}

/// Records a request's next attempt in its entry at this VM.
///
/// # Errors
///
/// Fails when this VM is not the primary for the budget, or its backup does not confirm the change.
pub async fn decide_redirect(
    context: &RouterContext,
    budget_id: &str,
    request: RedirectRequest,
) -> Result<Option<AttemptNumber>, CommitError> {
    let redirected = context.tables.lock_owner().redirect(budget_id, request, read_clock());
    commit_result(context, redirected).await
}

/// Reads a request's entry at this VM.
///
/// # Errors
///
/// Fails when this VM is not the primary for the budget, or when the key has no entry but may have
/// had one that was lost.
pub fn read_entry(
    context: &RouterContext,
    budget_id: &BudgetId,
    key: &RequestKey,
) -> Result<Option<KeyEntry>, CommitError> {
    let owner = context.tables.lock_owner();
    if !owner.is_primary_for(budget_id) {
        return Err(CommitError::NotPrimary);
    }
    let entry = owner.entry(key).cloned();
    if entry.is_none() && owner.may_have_lost_keys(budget_id, read_clock()) {
        return Err(CommitError::EntriesLost);
    }
    Ok(entry)
}

async fn try_admission(
    context: &RouterContext,
    request: &AdmitRequest,
) -> Result<AdmitDecision, CommitError> {
    let admitted = context.tables.lock_owner().admit(request.clone(), read_clock());
    let result = commit_result(context, admitted).await;
    if result == Err(CommitError::NotConfirmed) {
        release_unconfirmed(context, request);
    }
    result
}

/// Releases the tokens of an admission that the backup did not confirm and that was not reported to
/// the requesting VM.
fn release_unconfirmed(context: &RouterContext, request: &AdmitRequest) {
    let settle = SettleRequest {
        key: request.key.clone(),
        attempt: 1,
        outcome: SettleOutcome::NotRun,
        code: ResultCode::BudgetUnestablished,
    };
    let mut owner = context.tables.lock_owner();
    owner.settle(&request.budget_id, settle, read_clock(), &context.invariants);
}

async fn commit_result<T>(
    context: &RouterContext,
    result: Option<(T, ShardChange)>,
) -> Result<T, CommitError> {
    let (result, change) = result.ok_or(CommitError::NotPrimary)?;
    commit_change(context, change).await?;
    Ok(result)
}
