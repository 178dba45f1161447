//! The prompt tokens that a server has to process before a new prompt: those of this VM's own
//! attempts, and an estimate for those of other VMs by the server's last report.
//!
//! Addresses short prompts that queue behind long ones at a server with free slots.

use std::collections::VecDeque;
use std::time::Duration;

use super::Uptime;
use crate::ids::Tokens;

/// The half-life of the estimate for other VMs; a report says how many requests a server has, most of
/// whose prompts it processes within this time.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);
/// The part of the running requests whose prompt is assumed to be unprocessed.
const RUNNING_UNPROCESSED: f64 = 0.1;

/// A prompt of this VM that the server has not begun to answer.
#[derive(Debug, Clone, PartialEq)]
struct PendingPrompt {
    tokens: Tokens,
    tokens_ahead: f64,
    is_certain: bool,
    sent_at: Uptime,
}

/// The prompt tokens ahead of a new prompt at one server.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PromptBacklog {
    pending: VecDeque<PendingPrompt>,
    own_tokens: Tokens,
    reported_tokens: f64,
    reported_at: Uptime,
}

impl PromptBacklog {
    /// Returns the tokens ahead of a prompt that is sent now to a server of the given speed.
    pub fn tokens_ahead(&self, tokens_per_ms: f64, now: Uptime) -> f64 {
        let processed = self.pending.front().map_or(0.0, |first| {
            let elapsed_ms = now.saturating_sub(first.sent_at).as_secs_f64() * 1_000.0;
            (elapsed_ms * tokens_per_ms).min(first.tokens as f64)
        });
        let age_s = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = 0.5_f64.powf(age_s / REPORT_HALF_LIFE.as_secs_f64());
        self.own_tokens as f64 - processed + self.reported_tokens * weight
    }

    /// Records that a prompt was sent. `is_certain` says whether `tokens` is the size of its
    /// prefill, which depends on what the server has cached.
    pub fn begin(&mut self, tokens: Tokens, is_certain: bool, tokens_per_ms: f64, now: Uptime) {
        let tokens_ahead = self.tokens_ahead(tokens_per_ms, now);
        self.own_tokens += tokens;
        self.pending.push_back(PendingPrompt { tokens, tokens_ahead, is_certain, sent_at: now });
    }

    /// Ends a prompt of the given size. Returns when it was sent and, if that is certain, the tokens
    /// up to its end as of then.
    pub fn end(&mut self, tokens: Tokens) -> Option<(Uptime, Option<f64>)> {
        let position = self.pending.iter().position(|prompt| prompt.tokens == tokens)?;
        let prompt = self.pending.remove(position)?;
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
        let tokens_to_end = prompt.tokens_ahead + tokens as f64;
        Some((prompt.sent_at, prompt.is_certain.then_some(tokens_to_end)))
    }

    /// Records how many requests of other VMs run and wait at the server. `mean_tokens` is the usual
    /// size of a prompt.
    pub fn record_report(&mut self, running: f64, waiting: f64, mean_tokens: f64, now: Uptime) {
        self.reported_tokens = (waiting + running * RUNNING_UNPROCESSED) * mean_tokens;
        self.reported_at = now;
    }
}
