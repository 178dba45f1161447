//! The part of the time to the first event that does not depend on the size of a prompt: connecting,
//! the network, and the processor time of this VM.
//!
//! Without it, short prompts would make engines look several times slower than they are.

use std::time::Duration;

/// The quantile of the samples that is followed; longer ones contain waits behind other prompts.
const QUANTILE: f64 = 0.3;
/// The change of the estimate by one sample, before its quantile is applied, in milliseconds.
const STEP_MS: f64 = 1.0;
/// The least part of the time to the first event that is attributed to the prompt.
const MIN_PROMPT_PART: f64 = 0.2;
/// The largest prompt, in tokens, whose time is a sample.
const MAX_SAMPLE_TOKENS: f64 = 1_500.0;

/// The part of the time to the first event that does not depend on the size of a prompt.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseOverhead {
    ms: f64,
}

impl ResponseOverhead {
    /// Records that the first event came `waited` after a prompt was sent to a server of this speed.
    pub fn record(&mut self, tokens: f64, waited: Duration, tokens_per_ms: f64) {
        if tokens > MAX_SAMPLE_TOKENS {
            return;
        }
        let sample_ms = waited.as_secs_f64() * 1_000.0 - tokens / tokens_per_ms;
        let direction = if sample_ms > self.ms { QUANTILE } else { QUANTILE - 1.0 };
        self.ms = (self.ms + STEP_MS * direction).max(0.0);
    }

    /// Returns the part of the time to the first event that is due to the prompt.
    pub fn prompt_time(&self, waited: Duration) -> Duration {
        let overhead = Duration::from_secs_f64(self.ms / 1_000.0);
        waited.saturating_sub(overhead).max(waited.mul_f64(MIN_PROMPT_PART))
    }
}
