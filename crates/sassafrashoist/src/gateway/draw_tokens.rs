//! Waits for a draw from the ledger.

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::ids::Tokens;

use super::gateway_context::GatewayContext;

/// Asks for a draw until `is_enough` says so or `give_up_at` has come; returns whether it did.
pub async fn draw_until(
    context: &GatewayContext,
    account_id: &str,
    needed_tokens: Tokens,
    give_up_at: Uptime,
    is_enough: impl Fn() -> bool,
) -> bool {
    while context.now() < give_up_at {
        // Registered before the wish, so that its draw cannot be missed.
        let changed = context.tokens_changed.notified();
        context.lock_tokens().holding.want(account_id, needed_tokens);
        context.tokens_wanted.notify_one();
        // A timeout is the end of the wait, which the loop condition sees.
        let _ = tokio::time::timeout_at(context.instant(give_up_at), changed).await;
        if is_enough() {
            return true;
        }
    }
    false
}
