//! The bound up to which a holder may use an account's tokens without writing again.
//!
//! The bound grows with the time since the record that names it was first sent. So a holder that
//! loses the log goes on at about its usual rate at once, while a run that dies in touch with the
//! log strands only what the bound allowed up to the start of the next run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Tokens;

/// The bound up to which a holder may use an account's tokens without writing again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingMark {
    /// The bound when its record is sent: used and given tokens since the start of the run.
    pub tokens: Tokens,
    /// The tokens by which the bound grows each second.
    pub growth_tokens_per_s: Tokens,
}

impl SpendingMark {
    /// Returns the bound some time after its record was first sent.
    pub fn after(&self, elapsed: Duration) -> Tokens {
        let growth = self.growth_tokens_per_s as f64 * elapsed.as_secs_f64();
        self.tokens + growth as Tokens
    }

    /// Returns the time after which the bound reaches a number of tokens; `None` if it never does.
    pub fn time_to(&self, tokens: Tokens) -> Option<Duration> {
        let missing = tokens.saturating_sub(self.tokens);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let growth = self.growth_tokens_per_s;
        (growth > 0).then(|| Duration::from_secs_f64(missing as f64 / growth as f64))
    }
}
