//! Reserves the tokens of a request, which may have to be fetched first.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::ids::Tokens;

use super::fetch_tokens::start_fetching;
use super::gateway_context::GatewayContext;
use super::queue_entry::QueueEntry;
use super::token_reservation::TokenReservation;

/// How long a request waits for tokens: a draw takes two calls to the log service, a transfer one
/// call to another VM.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// The retry delay when this VM could not obtain the tokens in time: the next draw is done by then.
const TOKENS_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The retry delay when this VM is disconnected from the ledger: outages last seconds.
const DISCONNECTED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The minimum retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The reason why a request gets no tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTokens {
    /// The remaining tokens of the account do not cover the request.
    Exhausted,
    /// The account may have enough tokens, but this VM could not obtain them in time. The value is
    /// the retry delay for the caller.
    OutOfReach(Duration),
}

/// The maximum number of tokens that a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorstCase {
    /// The tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// The maximum number of output tokens.
    pub output_tokens: Tokens,
}

impl WorstCase {
    /// Returns the sum of prompt and output tokens.
    pub fn total(self) -> Tokens {
        self.prompt_tokens + self.output_tokens
    }
}

/// Reserves the worst-case tokens of a request of an account that paid for `paid_tokens`.
///
/// # Errors
///
/// Fails when the account has too few tokens, or when this VM cannot obtain them in time.
pub async fn obtain_tokens(
    context: &Arc<GatewayContext>,
    account_id: &str,
    paid_tokens: Tokens,
    worst_case: WorstCase,
) -> Result<TokenReservation, NoTokens> {
    let needed = worst_case.total();
    let now = context.now();
    if context.lock_tokens().try_reserve_unqueued(account_id, needed, now) {
        if context.lock_tokens().should_prefetch(account_id, now) {
            start_fetching(context, account_id);
        }
        return Ok(reservation(context, account_id, worst_case));
    }
    let has_recent_shortage = context.lock_tokens().has_recent_shortage(account_id, needed, now);
    if is_exhausted(context, account_id, paid_tokens, needed) {
        return Err(NoTokens::Exhausted);
    }
    if !has_recent_shortage {
        let entry = QueueEntry::join(context, account_id, needed);
        start_fetching(context, account_id);
        if entry.wait(now + MAX_WAIT).await {
            return Ok(reservation(context, account_id, worst_case));
        }
        if is_exhausted(context, account_id, paid_tokens, needed) {
            return Err(NoTokens::Exhausted);
        }
    }
    Err(NoTokens::OutOfReach(retry_after(context, account_id, needed)))
}

/// Returns the delay after which a retry of a request that got no tokens may succeed.
fn retry_after(context: &GatewayContext, account_id: &str, needed: Tokens) -> Duration {
    let now = context.now();
    let time_until_spendable =
        context.lock_tokens().holding.time_until_spendable(account_id, needed, now);
    match time_until_spendable {
        Some(time) => time.max(MIN_RETRY_AFTER),
        None if context.is_ledger_fresh() => TOKENS_RETRY_AFTER,
        None => DISCONNECTED_RETRY_AFTER,
    }
}

/// Returns whether the account's unspent tokens, on all VMs together, are too few for the request.
/// Requests in progress on any VM count with their worst case. False if the ledger was not read
/// recently.
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
