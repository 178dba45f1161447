//! The limit up to which a holder may spend an account's tokens before it writes a new record.
//!
//! The limit is written ahead to the ledger and grows with the time since its record was first
//! sent. A holder that loses its connection to the log can therefore go on at once at about its
//! usual rate. If a process dies while connected to the log, only the tokens that the limit allowed
//! up to the start of the next incarnation are stranded.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Tokens;

/// The limit up to which a holder may spend an account's tokens before it writes a new record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingLimit {
    /// The limit when its record is sent, on all tokens used or sent since the incarnation started.
    pub tokens: Tokens,
    /// The tokens by which the limit grows each second.
    pub growth_tokens_per_s: Tokens,
}

impl SpendingLimit {
    /// Returns the limit at the time `elapsed` after its record was first sent.
    pub fn tokens_after(&self, elapsed: Duration) -> Tokens {
        let growth = self.growth_tokens_per_s as f64 * elapsed.as_secs_f64();
        self.tokens.saturating_add(growth as Tokens)
    }

    /// Returns the time after which the limit reaches a number of tokens; `None` if it never does.
    pub fn time_to_reach(&self, tokens: Tokens) -> Option<Duration> {
        let missing = tokens.saturating_sub(self.tokens);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let growth = self.growth_tokens_per_s;
        (growth > 0).then(|| Duration::from_secs_f64(missing as f64 / growth as f64))
    }
}
