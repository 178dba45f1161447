//! The worst case of a request, reserved until it ends.

use std::sync::Arc;

use sassafrashoist_core::ids::{ClientAccountId, Tokens};

use super::gateway_context::GatewayContext;

/// The worst case of a request; dropping it settles what the request used.
#[derive(Debug)]
pub struct TokenReservation {
    context: Arc<GatewayContext>,
    account_id: ClientAccountId,
    prompt_tokens: Tokens,
    max_output_tokens: Tokens,
    output_tokens: Tokens,
    may_have_run: bool,
}

impl TokenReservation {
    /// Takes over a reservation that was made.
    pub fn new(
        context: Arc<GatewayContext>,
        account_id: ClientAccountId,
        prompt_tokens: Tokens,
        max_output_tokens: Tokens,
    ) -> Self {
        Self {
            context,
            account_id,
            prompt_tokens,
            max_output_tokens,
            output_tokens: 0,
            may_have_run: false,
        }
    }

    /// Records that a server began to answer, or may have: a run begins with its first event, so a
    /// request whose caller leaves before that has used nothing.
    pub fn mark_run(&mut self) {
        self.may_have_run = true;
    }

    /// Counts output tokens that are passed to the caller.
    pub fn add_output(&mut self, tokens: Tokens) {
        self.output_tokens = (self.output_tokens + tokens).min(self.max_output_tokens);
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let worst_case_tokens = self.prompt_tokens + self.max_output_tokens;
        let used_tokens =
            if self.may_have_run { self.prompt_tokens + self.output_tokens } else { 0 };
        let now = self.context.now();
        let mut tokens = self.context.lock_tokens();
        tokens.holding.settle(&self.account_id, worst_case_tokens, used_tokens, now);
        drop(tokens);
        self.context.serve_waiting_requests();
    }
}
