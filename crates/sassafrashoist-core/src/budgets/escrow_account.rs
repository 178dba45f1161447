//! Accounting of the tokens that one owner holds of one budget.

use serde::{Deserialize, Serialize};

use crate::ids::Tokens;

/// The token counts of one budget at one owner; new requests can reserve only held tokens.
///
/// Draws and received transfers add tokens; settlements and sent transfers remove them, so
/// `drawn + received = held + reserved + settled + sent` holds after every operation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EscrowAccount {
    /// Tokens that no request has reserved.
    pub held_tokens: Tokens,
    /// Tokens reserved by requests that are not settled.
    pub reserved_tokens: Tokens,
    /// Tokens used by settled requests.
    pub settled_tokens: Tokens,
    /// Tokens drawn from the data centre's share in the ledger.
    pub drawn_tokens: Tokens,
    /// Tokens sent to owners in other data centres.
    pub sent_tokens: Tokens,
    /// Tokens received from owners in other data centres.
    pub received_tokens: Tokens,
}

impl EscrowAccount {
    /// Adds tokens that the owner drew from its share.
    pub fn draw(&mut self, tokens: Tokens) {
        self.held_tokens += tokens;
        self.drawn_tokens += tokens;
    }

    /// Moves tokens from held to reserved; false when too few are held.
    #[must_use]
    pub fn try_reserve(&mut self, tokens: Tokens) -> bool {
        if self.held_tokens < tokens {
            return false;
        }
        self.held_tokens -= tokens;
        self.reserved_tokens += tokens;
        true
    }

    /// Removes held tokens to send them to another owner; false when too few are held.
    #[must_use]
    pub fn try_send(&mut self, tokens: Tokens) -> bool {
        if self.held_tokens < tokens {
            return false;
        }
        self.held_tokens -= tokens;
        self.sent_tokens += tokens;
        true
    }

    /// Adds tokens that another owner sent.
    pub fn receive(&mut self, tokens: Tokens) {
        self.held_tokens += tokens;
        self.received_tokens += tokens;
    }

    /// Settles a reservation of `reserved_tokens` with the tokens used, and releases the rest.
    ///
    /// Returns the tokens used beyond the reservation, which is 0 unless an invariant is violated.
    pub fn settle(&mut self, reserved_tokens: Tokens, used_tokens: Tokens) -> Tokens {
        let billed_tokens = used_tokens.min(reserved_tokens);
        self.reserved_tokens -= reserved_tokens;
        self.settled_tokens += billed_tokens;
        self.held_tokens += reserved_tokens - billed_tokens;
        used_tokens - billed_tokens
    }

    /// Returns whether the counts add up, so that no token was created or lost.
    pub fn is_balanced(&self) -> bool {
        let entered_tokens = self.drawn_tokens + self.received_tokens;
        let present_tokens = self.held_tokens + self.reserved_tokens;
        entered_tokens == present_tokens + self.settled_tokens + self.sent_tokens
    }
}
