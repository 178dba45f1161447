//! Reserves the tokens of a request, wherever they are held.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::ids::Tokens;

use super::ask_peers::ask_peer;
use super::draw_tokens::draw_until;
use super::gateway_context::GatewayContext;
use super::token_reservation::TokenReservation;

/// How long a request waits for tokens: a draw takes two calls, a question to another VM one.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// How long the log is waited for before other VMs are asked.
const DRAW_WAIT: Duration = Duration::from_millis(130);
/// The age up to which the ledger tells where tokens are.
const MAX_LEDGER_AGE: Duration = Duration::from_millis(1_500);
/// When a caller may come back whose tokens are out of reach: after the next draw.
const TOKENS_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The least time after which a caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Further requests for which a VM that does not draw asks, so that it asks less often.
const LIKED_REQUESTS: Tokens = 1;
/// The most other VMs that are asked for one request.
const MAX_PEERS: usize = 6;

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
    let give_up_at = context.now() + MAX_WAIT;
    if try_reserve(context, account_id, needed) {
        return Ok(reservation(context, account_id, worst_case));
    }
    if is_exhausted(context, account_id, paid_tokens, needed) {
        return Err(NoTokens::Exhausted);
    }
    if context.lock_tokens().is_short(account_id, needed, context.now()) {
        return Err(NoTokens::OutOfReach(TOKENS_RETRY_AFTER));
    }
    let is_bank = context.lock_tokens().is_bank();
    if is_bank && is_ledger_fresh(context) {
        let draw_until_at = context.now() + DRAW_WAIT;
        let reserve = || try_reserve(context, account_id, needed);
        if draw_until(context, account_id, needed, draw_until_at, reserve).await {
            return Ok(reservation(context, account_id, worst_case));
        }
    }
    let peers = context.lock_tokens().rich_peers(account_id, context.now());
    for peer in peers.into_iter().take(MAX_PEERS) {
        let now = context.now();
        let held = context.lock_tokens().holding.available_tokens(account_id, now);
        let held = held.max(0) as Tokens;
        let missing = needed.saturating_sub(held);
        let liked = if is_bank { missing } else { missing + LIKED_REQUESTS * needed };
        let question = ask_peer(context, peer, account_id, missing, liked);
        // Tokens that come later are taken in by the question's own task.
        let is_late = tokio::time::timeout_at(context.instant(give_up_at), question).await.is_err();
        if try_reserve(context, account_id, needed) {
            return Ok(reservation(context, account_id, worst_case));
        }
        if is_late {
            break;
        }
    }
    if is_exhausted(context, account_id, paid_tokens, needed) {
        return Err(NoTokens::Exhausted);
    }
    let mut tokens = context.lock_tokens();
    tokens.record_shortage(account_id, needed, context.now());
    let held_back_for = tokens.holding.time_to_spendable(account_id, needed, context.now());
    let delay = held_back_for.map_or(TOKENS_RETRY_AFTER, |time| time.max(MIN_RETRY_AFTER));
    Err(NoTokens::OutOfReach(delay))
}

fn try_reserve(context: &GatewayContext, account_id: &str, needed: Tokens) -> bool {
    context.lock_tokens().holding.try_reserve(account_id, needed, context.now())
}

/// Returns whether the ledger was read to its end a short while ago.
pub fn is_ledger_fresh(context: &GatewayContext) -> bool {
    context.ledger_age().is_some_and(|age| age < MAX_LEDGER_AGE)
}

/// Returns whether the account cannot pay for the request, wherever its tokens are. Requests in
/// progress count at their worst case, as they do where they were reserved.
fn is_exhausted(
    context: &GatewayContext,
    account_id: &str,
    paid_tokens: Tokens,
    needed: Tokens,
) -> bool {
    let unspent = context.lock_tokens().unspent_tokens(account_id, paid_tokens);
    is_ledger_fresh(context) && unspent < needed as i64
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
