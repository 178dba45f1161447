//! Looks for tokens of a budget that is short here: in the share, in other data centres, and in
//! reservations that may soon be settled.

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
const SEARCH_BOUND: Duration = Duration::from_millis(1_000);
/// How long a request waits for a draw before it asks other data centres.
const FIRST_DRAW_BOUND: Duration = Duration::from_millis(400);
/// How long a request waits for a draw of tokens that the log is known to hold.
const DRAW_BOUND: Duration = Duration::from_millis(1_500);
/// Time between two looks at tokens that are on the way.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// When to try again while other requests hold reservations.
const SHORT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// When to try again after a data centre was out of reach.
const OUT_OF_REACH_RETRY_AFTER: Duration = Duration::from_secs(5);
/// When to try again with an empty budget.
const EMPTY_RETRY_AFTER: Duration = Duration::from_secs(60);

/// What a search found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenSearch {
    /// More tokens may be held now.
    TryAgain,
    /// The request is refused.
    Refuse {
        /// Why.
        code: ResultCode,
        /// When to try again.
        retry_after: Duration,
    },
}

/// Looks for `wanted_tokens` of a budget; `started_at` bounds how long one request looks.
pub async fn find_tokens(
    context: &RouterContext,
    budget_id: &str,
    wanted_tokens: Tokens,
    started_at: Instant,
) -> TokenSearch {
    let _turn = context.shard_turns.search(shard_of(budget_id)).await;
    let account = context.tables.lock_owner().account(budget_id);
    if account.held_tokens >= wanted_tokens {
        return TokenSearch::TryAgain;
    }
    let is_over = started_at.elapsed() >= SEARCH_BOUND;
    if started_at.elapsed() < FIRST_DRAW_BOUND && read_undrawn(context, budget_id) > 0 {
        if let Some(replica) = context.tables.lock_owner().replica_mut(shard_of(budget_id)) {
            replica.record_shortfall(budget_id, wanted_tokens - account.held_tokens);
        }
        context.shard_turns.shard_work.notify_one();
        return wait_once().await;
    }
    let missing_tokens = wanted_tokens - account.held_tokens;
    let moves_tokens = context.settings.budget_policy.moves_tokens();
    let outcomes = if moves_tokens {
        ask_others(context, budget_id, missing_tokens).await
    } else {
        Vec::new()
    };
    let received_tokens: Tokens = outcomes.iter().map(|outcome| outcome.received_tokens).sum();
    if received_tokens >= missing_tokens {
        return TokenSearch::TryAgain;
    }
    let is_cut_off = !moves_tokens || outcomes.iter().any(|outcome| outcome.is_unreachable);
    let reserved_elsewhere: Tokens = outcomes.iter().map(|outcome| outcome.pending_tokens).sum();
    let has_reserved = account.reserved_tokens + reserved_elsewhere > 0;
    if !is_over && (has_reserved || received_tokens > 0) {
        return wait_once().await;
    }
    let is_ledger_read = refresh_ledger(context).await;
    if started_at.elapsed() < DRAW_BOUND && read_undrawn(context, budget_id) > 0 {
        context.shard_turns.shard_work.notify_one();
        return wait_once().await;
    }
    refuse(is_cut_off || !is_ledger_read, has_reserved)
}

fn refuse(is_cut_off: bool, has_reserved: bool) -> TokenSearch {
    let (code, retry_after) = if is_cut_off {
        (ResultCode::BudgetOutOfReach, OUT_OF_REACH_RETRY_AFTER)
    } else if has_reserved {
        (ResultCode::BudgetShortHere, SHORT_RETRY_AFTER)
    } else {
        (ResultCode::BudgetEmpty, EMPTY_RETRY_AFTER)
    };
    TokenSearch::Refuse { code, retry_after }
}

async fn wait_once() -> TokenSearch {
    sleep(SEARCH_INTERVAL).await;
    TokenSearch::TryAgain
}

async fn ask_others(
    context: &RouterContext,
    budget_id: &str,
    missing_tokens: Tokens,
) -> Vec<TokenRequestOutcome> {
    let others: Vec<DataCentreId> = list_other_data_centres(context);
    let asks = others.iter().map(|id| request_tokens(context, id, budget_id, missing_tokens, true));
    join_all(asks).await
}

/// Returns the other data centres that the ledger knows.
pub fn list_other_data_centres(context: &RouterContext) -> Vec<DataCentreId> {
    let table = context.tables.lock_ledger();
    let ids = table.ledger.views.keys();
    ids.filter(|id| **id != context.settings.data_centre_id).cloned().collect()
}

/// Returns the tokens of this data centre's share that are not drawn yet.
pub fn read_undrawn(context: &RouterContext, budget_id: &str) -> Tokens {
    let table = context.tables.lock_ledger();
    table.ledger.share(&context.settings.data_centre_id, budget_id).undrawn_tokens()
}
