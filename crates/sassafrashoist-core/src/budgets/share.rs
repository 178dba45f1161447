//! The share of one data centre in one budget, as the ledger knows it.

use serde::{Deserialize, Serialize};

use super::escrow_account::EscrowAccount;
use crate::ids::Tokens;

/// The share of one data centre in one budget, as the ledger knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Tokens given by top-ups.
    pub granted_tokens: Tokens,
    /// Tokens drawn by all primaries so far.
    pub drawn_tokens: Tokens,
    /// Tokens drawn by primaries whose state was lost.
    pub lost_drawn_tokens: Tokens,
    /// What the lost primaries had reported, added up.
    pub lost_reported: EscrowAccount,
    /// What the present primary reported last.
    pub checkpoint: EscrowAccount,
}

impl Share {
    /// The tokens that may still be drawn.
    pub fn undrawn_tokens(&self) -> Tokens {
        self.granted_tokens - self.drawn_tokens
    }

    /// The tokens drawn by the present primary and those whose state it took over.
    pub fn live_drawn_tokens(&self) -> Tokens {
        self.drawn_tokens - self.lost_drawn_tokens
    }

    /// Takes up to `tokens` from the rest and returns what was taken.
    pub fn draw(&mut self, tokens: Tokens) -> Tokens {
        let taken_tokens = tokens.min(self.undrawn_tokens());
        self.drawn_tokens += taken_tokens;
        taken_tokens
    }

    /// Records that the state of the primary is lost with all that it had drawn.
    pub fn lose_primary(&mut self) {
        self.lost_drawn_tokens = self.drawn_tokens;
        self.lost_reported.settled_tokens += self.checkpoint.settled_tokens;
        self.lost_reported.sent_tokens += self.checkpoint.sent_tokens;
        self.lost_reported.received_tokens += self.checkpoint.received_tokens;
        self.checkpoint = EscrowAccount::default();
    }

    /// The most tokens that lost primaries may have left unspent.
    pub fn stranded_tokens(&self) -> Tokens {
        let entered_tokens = self.lost_drawn_tokens + self.lost_reported.received_tokens;
        let left_tokens = self.lost_reported.settled_tokens + self.lost_reported.sent_tokens;
        entered_tokens.saturating_sub(left_tokens)
    }
}
