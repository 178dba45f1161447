//! An exponentially smoothed rate of amounts, such as tokens per second.

use super::Uptime;

/// The shortest history, in seconds, that a rate is computed for, so that a single amount does not
/// produce an extreme rate.
const MIN_OBSERVED_S: f64 = 1.5;

/// An exponentially smoothed rate: the weight of an amount decays with its age.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FlowRate {
    sum: f64,
    summed_at: Uptime,
    first_at: Option<Uptime>,
    is_adopted: bool,
}

impl FlowRate {
    /// Starts from a previously measured rate.
    pub fn adopt(per_second: u64, decay_s: f64, now: Uptime) -> Self {
        let sum = per_second as f64 * decay_s;
        Self { sum, summed_at: now, first_at: Some(now), is_adopted: true }
    }

    /// Adds an amount, whose weight decays to 1/e within `decay_s` seconds.
    pub fn add(&mut self, amount: u64, decay_s: f64, now: Uptime) {
        self.sum = self.decayed_sum(decay_s, now) + amount as f64;
        self.summed_at = now;
        self.first_at.get_or_insert(now);
    }

    /// Returns the rate per second.
    ///
    /// Corrects for the short history after the first amount, unless the rate was adopted.
    pub fn per_second(&self, decay_s: f64, now: Uptime) -> f64 {
        let Some(first_at) = self.first_at else {
            return 0.0;
        };
        let observed_s = now.saturating_sub(first_at).as_secs_f64().max(MIN_OBSERVED_S);
        let observed_weight =
            if self.is_adopted { 1.0 } else { 1.0 - (-observed_s / decay_s).exp() };
        let span_s = decay_s * observed_weight;
        self.decayed_sum(decay_s, now) / span_s
    }

    fn decayed_sum(&self, decay_s: f64, now: Uptime) -> f64 {
        let age_s = now.saturating_sub(self.summed_at).as_secs_f64();
        self.sum * (-age_s / decay_s).exp()
    }
}
