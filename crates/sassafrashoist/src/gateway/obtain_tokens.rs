//! Reserves the tokens of a request, wherever they are held.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::ids::Tokens;

use super::fetch_tokens::start_fetching;
use super::gateway_context::GatewayContext;
use super::queue_place::QueuePlace;
use super::token_reservation::TokenReservation;

/// How long a request waits for tokens: a draw takes two calls, a question to another VM one.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// When a caller may come back whose tokens are out of reach: after the next draw.
const TOKENS_RETRY_AFTER: Duration = Duration::from_millis(500);
/// When a caller may come back if this VM is out of touch with the ledger: outages last seconds.
const OUT_OF_TOUCH_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The least time after which a caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Why a request gets no tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTokens {
    /// What the account has left does not cover the request.
    Exhausted,
    /// The account may have them, but not within reach before this time has passed.
    OutOfReach(Duration),
}

/// The tokens that a request may use at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorstCase {
    /// The length of the prompt.
    pub prompt_tokens: Tokens,
    /// The most output tokens.
    pub output_tokens: Tokens,
}

impl WorstCase {
    /// Returns the sum.
    pub fn total(self) -> Tokens {
        self.prompt_tokens + self.output_tokens
    }
}

/// Reserves the worst case of a request of an account that paid for `paid_tokens`.
///
/// # Errors
///
/// Fails when the tokens are not there, or not within reach in time.
pub async fn obtain_tokens(
    context: &Arc<GatewayContext>,
    account_id: &str,
    paid_tokens: Tokens,
    worst_case: WorstCase,
) -> Result<TokenReservation, NoTokens> {
    let needed = worst_case.total();
    let now = context.now();
    if context.lock_tokens().try_reserve_unqueued(account_id, needed, now) {
        if context.lock_tokens().runs_low(account_id, now) {
            start_fetching(context, account_id);
        }
        return Ok(reservation(context, account_id, worst_case));
    }
    let is_short = context.lock_tokens().is_short(account_id, needed, now);
    if is_exhausted(context, account_id, paid_tokens, needed) {
        return Err(NoTokens::Exhausted);
    }
    if !is_short {
        let place = QueuePlace::join(context, account_id, needed);
        start_fetching(context, account_id);
        if place.wait(now + MAX_WAIT).await {
            return Ok(reservation(context, account_id, worst_case));
        }
        if is_exhausted(context, account_id, paid_tokens, needed) {
            return Err(NoTokens::Exhausted);
        }
    }
    Err(NoTokens::OutOfReach(time_to_tokens(context, account_id, needed)))
}

/// Returns the time after which a request that found no tokens may find some.
fn time_to_tokens(context: &GatewayContext, account_id: &str, needed: Tokens) -> Duration {
    let now = context.now();
    let held_back_for = context.lock_tokens().holding.time_until_spendable(account_id, needed, now);
    match held_back_for {
        Some(time) => time.max(MIN_RETRY_AFTER),
        None if context.is_ledger_fresh() => TOKENS_RETRY_AFTER,
        None => OUT_OF_TOUCH_RETRY_AFTER,
    }
}

/// Returns whether the account cannot pay for the request, wherever its tokens are. Requests in
/// progress count at their worst case, as they do where they were reserved.
fn is_exhausted(
    context: &GatewayContext,
    account_id: &str,
    paid_tokens: Tokens,
    needed: Tokens,
) -> bool {
    let now = context.now();
    let unspent = context.lock_tokens().unspent_tokens(account_id, paid_tokens, now);
    context.is_ledger_fresh() && unspent < needed as i64
}

fn reservation(
    context: &Arc<GatewayContext>,
    account_id: &str,
    worst_case: WorstCase,
) -> TokenReservation {
    TokenReservation::new(
        Arc::clone(context),
        account_id.to_owned(),
        worst_case.prompt_tokens,
        worst_case.output_tokens,
    )
}
