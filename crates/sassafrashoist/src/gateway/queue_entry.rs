//! The queue entry of a request that waits for tokens of its account.

use std::sync::Arc;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::token_queue::Ticket;
use sassafrashoist_core::ids::{ClientAccountId, Tokens};
use tokio::sync::oneshot;

use super::gateway_context::GatewayContext;

/// The queue entry of a request that waits for tokens of its account. Dropping it removes the
/// request from the queue, and releases tokens that were reserved but not claimed by `wait`.
#[derive(Debug)]
pub struct QueueEntry {
    context: Arc<GatewayContext>,
    account_id: ClientAccountId,
    needed_tokens: Tokens,
    ticket: Ticket,
    granted: oneshot::Receiver<()>,
}

impl QueueEntry {
    /// Adds a request to the end of the queue.
    pub fn join(context: &Arc<GatewayContext>, account_id: &str, needed_tokens: Tokens) -> Self {
        let (ticket, granted) = context.lock_tokens().join_queue(account_id, needed_tokens);
        let (context, account_id) = (Arc::clone(context), account_id.to_owned());
        Self { context, account_id, needed_tokens, ticket, granted }
    }

    /// Waits for the tokens until `give_up_at`; true if they are reserved, false after the timeout
    /// or if the request was rejected.
    pub async fn wait(mut self, give_up_at: Uptime) -> bool {
        let give_up_at = self.context.instant(give_up_at);
        let granted = tokio::time::timeout_at(give_up_at, &mut self.granted).await;
        matches!(granted, Ok(Ok(())))
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut tokens = self.context.lock_tokens();
        tokens.leave_queue(&self.account_id, self.ticket);
        // The tokens were reserved just when the request stopped waiting.
        if self.granted.try_recv().is_ok() {
            tokens.holding.release(&self.account_id, self.needed_tokens);
        }
    }
}
