//! Searches for tokens of a budget that is short at this VM: in the data centre's undrawn share, in
//! other data centres, and in reservations that may soon be settled.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::{Instant, sleep};

use crate::core::router_context::RouterContext;
use crate::ops::follow_ledger::refresh_ledger;
use crate::ops::move_tokens::{TokenRequestOutcome, request_tokens};
use sassafrashoist_core::budgets::shard::shard_of;
use sassafrashoist_core::ids::{DataCentreId, Tokens};
use sassafrashoist_core::result_code::ResultCode;

/// How long a request waits for tokens before it is refused.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a request waits for a draw before tokens are requested from other data centres.
const FIRST_DRAW_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a request waits for a draw of tokens that the ledger shows as undrawn.
const DRAW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before the admission is tried again while tokens are expected.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// The `Retry-After` while other requests hold reservations.
const SHORT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The `Retry-After` when tokens may be out of reach, in another data centre or in the log.
const OUT_OF_REACH_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The `Retry-After` of an empty budget.
const EMPTY_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The result of a search for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenSearch {
    /// More tokens may be held now, so the admission is tried again.
    TryAgain,
    /// The request is refused.
    Refuse {
        /// The reason.
        code: ResultCode,
        /// How long the caller is told to wait before it retries.
        retry_after: Duration,
    },
}

/// Searches for `requested_tokens` of a budget.
///
/// `started_at` is when the request's first search began; the time limits count from it.
pub async fn find_tokens(
    context: &RouterContext,
    budget_id: &str,
    requested_tokens: Tokens,
    started_at: Instant,
) -> TokenSearch {
    let _search_lock = context.shard_locks.lock_search(shard_of(budget_id)).await;
    let account = context.tables.lock_owner().account(budget_id);
    if account.held_tokens >= requested_tokens {
        return TokenSearch::TryAgain;
    }
    let is_timed_out = started_at.elapsed() >= SEARCH_TIMEOUT;
    if started_at.elapsed() < FIRST_DRAW_TIMEOUT && read_undrawn(context, budget_id) > 0 {
        if let Some(replica) = context.tables.lock_owner().replica_mut(shard_of(budget_id)) {
            replica.record_shortfall(budget_id, requested_tokens - account.held_tokens);
        }
        context.shard_locks.maintenance_needed.notify_one();
        return wait_and_retry().await;
    }
    let missing_tokens = requested_tokens - account.held_tokens;
    let moves_tokens = context.settings.budget_policy.transfers_tokens();
    let outcomes = if moves_tokens {
        request_from_other_data_centres(context, budget_id, missing_tokens).await
    } else {
        Vec::new()
    };
    let received_tokens: Tokens = outcomes.iter().map(|outcome| outcome.received_tokens).sum();
    if received_tokens >= missing_tokens {
        return TokenSearch::TryAgain;
    }
    let is_search_incomplete =
        !moves_tokens || outcomes.iter().any(|outcome| outcome.is_unreachable);
    let reserved_elsewhere: Tokens = outcomes.iter().map(|outcome| outcome.pending_tokens).sum();
    let has_reserved = account.reserved_tokens + reserved_elsewhere > 0;
    if !is_timed_out && (has_reserved || received_tokens > 0) {
        return wait_and_retry().await;
    }
    let is_ledger_read = refresh_ledger(context).await;
    if started_at.elapsed() < DRAW_TIMEOUT && read_undrawn(context, budget_id) > 0 {
        context.shard_locks.maintenance_needed.notify_one();
        return wait_and_retry().await;
    }
    refuse(is_search_incomplete || !is_ledger_read, has_reserved)
}

fn refuse(is_search_incomplete: bool, has_reserved: bool) -> TokenSearch {
    let (code, retry_after) = if is_search_incomplete {
        (ResultCode::BudgetOutOfReach, OUT_OF_REACH_RETRY_AFTER)
    } else if has_reserved {
        (ResultCode::BudgetShortHere, SHORT_RETRY_AFTER)
    } else {
        (ResultCode::BudgetEmpty, EMPTY_RETRY_AFTER)
    };
    TokenSearch::Refuse { code, retry_after }
}

async fn wait_and_retry() -> TokenSearch {
    sleep(SEARCH_INTERVAL).await;
    TokenSearch::TryAgain
}

async fn request_from_other_data_centres(
    context: &RouterContext,
    budget_id: &str,
    missing_tokens: Tokens,
) -> Vec<TokenRequestOutcome> {
    let others: Vec<DataCentreId> = list_other_data_centres(context);
    let transfer_requests =
        others.iter().map(|id| request_tokens(context, id, budget_id, missing_tokens, true));
    join_all(transfer_requests).await
}

/// Returns the other data centres that have a view in the ledger.
pub fn list_other_data_centres(context: &RouterContext) -> Vec<DataCentreId> {
    let table = context.tables.lock_ledger();
    let ids = table.ledger.views.keys();
    ids.filter(|id| **id != context.settings.data_centre_id).cloned().collect()
}

/// Returns the tokens of this data centre's share of a budget that are not yet drawn.
pub fn read_undrawn(context: &RouterContext, budget_id: &str) -> Tokens {
    let table = context.tables.lock_ledger();
    table.ledger.share(&context.settings.data_centre_id, budget_id).undrawn_tokens()
}
