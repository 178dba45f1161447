//! The share of one data centre in one budget, as recorded in the ledger.

use serde::{Deserialize, Serialize};

use super::escrow_account::EscrowAccount;
use crate::ids::Tokens;

/// The share of one data centre in one budget, as recorded in the ledger.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Tokens granted by top-ups.
    pub granted_tokens: Tokens,
    /// Tokens drawn by all primaries so far.
    pub drawn_tokens: Tokens,
    /// Tokens drawn by primaries whose state was lost.
    pub lost_drawn_tokens: Tokens,
    /// The sum of what the lost primaries had last reported.
    pub lost_reported: EscrowAccount,
    /// The account that the current primary, or an earlier one whose state it continues, last
    /// reported.
    pub checkpoint: EscrowAccount,
}

impl Share {
    /// Returns the tokens that can still be drawn.
    pub fn undrawn_tokens(&self) -> Tokens {
        self.granted_tokens - self.drawn_tokens
    }

    /// Returns the tokens drawn by the current primary and the earlier ones whose state it
    /// continues.
    pub fn live_drawn_tokens(&self) -> Tokens {
        self.drawn_tokens - self.lost_drawn_tokens
    }

    /// Draws up to `tokens` of the undrawn tokens and returns how many were drawn.
    pub fn draw(&mut self, tokens: Tokens) -> Tokens {
        let newly_drawn_tokens = tokens.min(self.undrawn_tokens());
        self.drawn_tokens += newly_drawn_tokens;
        newly_drawn_tokens
    }

    /// Records that the primary's state was lost, with all tokens that it had drawn.
    pub fn record_lost_primary(&mut self) {
        self.lost_drawn_tokens = self.drawn_tokens;
        self.lost_reported.settled_tokens += self.checkpoint.settled_tokens;
        self.lost_reported.sent_tokens += self.checkpoint.sent_tokens;
        self.lost_reported.received_tokens += self.checkpoint.received_tokens;
        self.checkpoint = EscrowAccount::default();
    }

    /// Returns the most tokens that lost primaries may have left unspent.
    pub fn stranded_tokens(&self) -> Tokens {
        let incoming_tokens = self.lost_drawn_tokens + self.lost_reported.received_tokens;
        let outgoing_tokens = self.lost_reported.settled_tokens + self.lost_reported.sent_tokens;
        incoming_tokens.saturating_sub(outgoing_tokens)
    }
}
