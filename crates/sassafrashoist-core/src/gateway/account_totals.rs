//! Sums over the holders of one account's tokens.

use super::holder_record::HeldTokens;
use crate::ids::Tokens;

/// Sums over the holders of one account's tokens. They are wider than the numbers in records, so that
/// no odd record makes them overflow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct AccountTotals {
    net_drawn_tokens: i128,
    spent_tokens: i128,
    use_tokens_per_s: i128,
}

impl AccountTotals {
    /// Returns the tokens that all holders drew, minus those that they returned.
    pub(super) fn net_drawn_tokens(self) -> i64 {
        self.net_drawn_tokens.clamp(i64::MIN.into(), i64::MAX.into()) as i64
    }

    /// Returns the tokens that all holders reported as used.
    pub(super) fn spent_tokens(self) -> Tokens {
        self.spent_tokens.clamp(0, Tokens::MAX.into()) as Tokens
    }

    /// Returns the rate at which all VMs use tokens.
    pub(super) fn use_tokens_per_s(self) -> Tokens {
        self.use_tokens_per_s.clamp(0, Tokens::MAX.into()) as Tokens
    }

    /// Adds what a holder drew and used.
    pub(super) fn add_holder(&mut self, held: &HeldTokens) {
        self.net_drawn_tokens += i128::from(held.net_drawn_tokens);
        self.spent_tokens += i128::from(held.spent_tokens);
    }

    /// Takes out what a holder drew and used.
    pub(super) fn remove_holder(&mut self, held: &HeldTokens) {
        self.net_drawn_tokens -= i128::from(held.net_drawn_tokens);
        self.spent_tokens -= i128::from(held.spent_tokens);
    }

    /// Adds the rate at which a VM uses tokens.
    pub(super) fn add_use(&mut self, held: &HeldTokens) {
        self.use_tokens_per_s += i128::from(held.use_tokens_per_s);
    }

    /// Takes out the rate at which a VM uses tokens.
    pub(super) fn remove_use(&mut self, held: &HeldTokens) {
        self.use_tokens_per_s -= i128::from(held.use_tokens_per_s);
    }
}
