//! The worst-case tokens of a request, held in escrow until the request ends.

use std::sync::Arc;

use sassafrashoist_core::ids::{ClientAccountId, Tokens};

use super::gateway_context::GatewayContext;

/// The reserved worst-case tokens of a request. Dropping it settles the tokens that the request
/// used.
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
    /// Wraps a reservation that is already made in the holding.
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

    /// Records that a server started to run the request, or may have. The first event that this VM has
    /// read is not the first that the server sent.
    pub fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// Counts output tokens that are forwarded to the caller.
    pub fn add_output_tokens(&mut self, tokens: Tokens) {
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
