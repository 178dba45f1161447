//! The prompts that a VM has recently sent to the servers of a pool, by which it estimates the prompts of
//! other VMs that a server reports by their number only.

use std::time::Duration;

use super::Uptime;
use crate::ids::Tokens;

/// The time within which the weight of a prompt decays to 1/e.
const DECAY: Duration = Duration::from_secs(20);

/// The prompts that a VM has recently sent to the servers of a pool.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecentPrompts {
    tokens: f64,
    count: f64,
    updated_at: Uptime,
}

impl RecentPrompts {
    /// Records the prefill of a request.
    pub fn record(&mut self, tokens: Tokens, now: Uptime) {
        let age_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let kept = (-age_s / DECAY.as_secs_f64()).exp();
        self.tokens = self.tokens * kept + tokens as f64;
        self.count = self.count * kept + 1.0;
        self.updated_at = now;
    }

    /// Returns the mean prefill, in tokens; zero if none is known.
    pub fn mean_tokens(&self) -> f64 {
        if self.count > 0.0 { self.tokens / self.count } else { 0.0 }
    }
}
