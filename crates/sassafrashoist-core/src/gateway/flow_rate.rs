//! A smoothed rate of amounts, such as tokens a second.

use super::Uptime;

/// The least time, in seconds, over which a rate is taken; a single amount says little.
const MIN_SPAN_S: f64 = 1.5;

/// A smoothed rate: amounts weigh less the older they are.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FlowRate {
    sum: f64,
    summed_at: Uptime,
    first_at: Option<Uptime>,
    is_adopted: bool,
}

impl FlowRate {
    /// Starts from a rate that was known before.
    pub fn adopt(per_second: u64, decay_s: f64, now: Uptime) -> Self {
        let sum = per_second as f64 * decay_s;
        Self { sum, summed_at: now, first_at: Some(now), is_adopted: true }
    }

    /// Adds an amount; after `decay_s` seconds it weighs 1/e of a new one.
    pub fn add(&mut self, amount: u64, decay_s: f64, now: Uptime) {
        self.sum = self.decayed_sum(decay_s, now) + amount as f64;
        self.summed_at = now;
        self.first_at.get_or_insert(now);
    }

    /// Returns the rate, over the time since the first amount if that is short.
    pub fn per_second(&self, decay_s: f64, now: Uptime) -> f64 {
        let Some(first_at) = self.first_at else {
            return 0.0;
        };
        let seen_s = now.saturating_sub(first_at).as_secs_f64().max(MIN_SPAN_S);
        let seen_part = if self.is_adopted { 1.0 } else { 1.0 - (-seen_s / decay_s).exp() };
        let span_s = decay_s * seen_part;
        self.decayed_sum(decay_s, now) / span_s
    }

    fn decayed_sum(&self, decay_s: f64, now: Uptime) -> f64 {
        let age_s = now.saturating_sub(self.summed_at).as_secs_f64();
        self.sum * (-age_s / decay_s).exp()
    }
}
