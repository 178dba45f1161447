//! The speed of one backend server: its usual speed, learned from its own responses, and how slow it
//! is at the moment by its reports.
//!
//! Addresses pools whose servers differ in speed by a factor of up to 2.7 and slow down for some
//! hundred milliseconds by a factor of up to 2.5. A report counts for less than a second, so that a
//! wrong or lost one has little effect.

use std::time::Duration;

use super::Uptime;

/// The half-life of the effect of a report of slowness.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(150);
/// The bounds of the slowness that is taken from a report.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 4.0);
/// The largest factor by which a sample may differ from the estimate; beyond it, it counts as this.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// The least weight of a sample in the estimate.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// The size of a prompt, in tokens, whose sample has half of the full weight: the time of a short one
/// depends mostly on other things than the speed.
const HALF_WEIGHT_TOKENS: f64 = 1_500.0;
/// The factor of the weight of samples that are slower than the estimate: prompts of other VMs that
/// were ahead are not known and only ever add to the time.
const SLOWER_SAMPLE_FACTOR: f64 = 0.5;

/// The speed of one backend server.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServerSpeed {
    tokens_per_ms: Option<f64>,
    prompt_count: u32,
    response_ms: Option<f64>,
    response_count: u32,
    slowness: f64,
    slowness_at: Option<Uptime>,
}

impl ServerSpeed {
    /// Records the slowness that the server reported, in percent of the usual time.
    pub fn record_slowness(&mut self, percent: u32, now: Uptime) {
        self.slowness = (f64::from(percent) / 100.0).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness_at = Some(now);
    }

    /// Returns how long work takes at present as a multiple of the usual time.
    pub fn slowness(&self, now: Uptime) -> f64 {
        let Some(age) = self.slowness_age(now) else {
            return 1.0;
        };
        let weight = 0.5_f64.powf(age.as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowness - 1.0) * weight
    }

    /// Returns the age of the last report of slowness.
    pub fn slowness_age(&self, now: Uptime) -> Option<Duration> {
        self.slowness_at.map(|at| now.saturating_sub(at))
    }

    /// Records that the first event came `waited` after a prompt was sent, with `tokens` to process
    /// up to its end, without the overhead. `initial` is assumed before the first sample.
    pub fn record_prompt(&mut self, tokens: f64, waited: Duration, initial: f64, now: Uptime) {
        let waited_ms = waited.as_secs_f64() * 1_000.0;
        if tokens <= 0.0 || waited_ms <= 0.0 {
            return;
        }
        let sample = tokens * self.slowness(now) / waited_ms;
        let before = self.tokens_per_ms(initial);
        let size_factor = tokens / (tokens + HALF_WEIGHT_TOKENS);
        let factor = if sample < before { SLOWER_SAMPLE_FACTOR } else { 1.0 } * size_factor;
        self.tokens_per_ms = Some(mix(before, sample, self.prompt_count, factor));
        self.prompt_count = self.prompt_count.saturating_add(1);
    }

    /// Records that a response without a prompt came `waited` after its request was sent.
    pub fn record_response(&mut self, waited: Duration, now: Uptime) {
        let sample = waited.as_secs_f64() * 1_000.0 / self.slowness(now);
        if sample <= 0.0 {
            return;
        }
        let before = self.response_ms.unwrap_or(sample);
        let factor = if sample > before { SLOWER_SAMPLE_FACTOR } else { 1.0 };
        self.response_ms = Some(mix(before, sample, self.response_count, factor));
        self.response_count = self.response_count.saturating_add(1);
    }

    /// Returns the usual prefill speed, or `initial` before the first sample.
    pub fn tokens_per_ms(&self, initial: f64) -> f64 {
        self.tokens_per_ms.unwrap_or(initial)
    }

    /// Returns the usual time to a response without a prompt, in milliseconds; 0 before the first.
    pub fn response_ms(&self) -> f64 {
        self.response_ms.unwrap_or(0.0)
    }
}

/// Moves an estimate towards a sample by a part of their ratio, as both are scales.
fn mix(before: f64, sample: f64, sample_count: u32, factor: f64) -> f64 {
    let ratio = (sample / before).clamp(1.0 / MAX_SAMPLE_FACTOR, MAX_SAMPLE_FACTOR);
    let weight = (1.0 / f64::from(sample_count.saturating_add(2))).max(MIN_SAMPLE_WEIGHT);
    before * ratio.powf(weight * factor)
}
