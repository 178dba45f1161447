//! A smoothed rate of amounts, such as tokens a second.

use super::Uptime;

/// A smoothed rate: amounts weigh less the older they are.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FlowRate {
    per_second: f64,
    read_at: Uptime,
}

impl FlowRate {
    /// Adds an amount; after `decay_s` seconds it weighs 1/e of a new one.
    pub fn add(&mut self, amount: u64, decay_s: f64, now: Uptime) {
        self.per_second = self.per_second(decay_s, now) + amount as f64 / decay_s;
        self.read_at = now;
    }

    /// Returns the rate.
    pub fn per_second(&self, decay_s: f64, now: Uptime) -> f64 {
        let age_s = now.saturating_sub(self.read_at).as_secs_f64();
        self.per_second * (-age_s / decay_s).exp()
    }
}
