//! Cold servers: a server that has just started, or says that it is cold, takes few requests a second
//! for a time.
//!
//! A new server has the lowest cost of its pool, so all VMs would send it their next requests at once.
//! While it is cold it therefore has a limit for the sum over all VMs, which is kept by the permits of
//! servers that name limits.

use std::time::Duration;

use super::Uptime;

/// The permits that an issuer and its backup have in reserve at the most, whatever the limit is.
const MAX_RESERVE_PERMITS: f64 = 3.0;
/// The part of the limit that they may issue in a second, with what they have in reserve.
const MAX_ISSUED_PER_LIMIT: f64 = 1.54;

/// How the servers of a pool warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolWarmUp {
    /// How long a server is cold after its start.
    pub duration: Duration,
    /// The requests a second that a cold server takes from all VMs together.
    pub per_s: f64,
}

/// By how much the requests to a cold server may exceed its rate in a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpBounds {
    /// The factor on the rate.
    pub overshoot: f64,
    /// The requests in addition to that.
    pub tolerance: f64,
}

impl PoolWarmUp {
    /// Returns the rate that VMs use for the permits, so that the bounds hold also while an issuer and
    /// its backup do not know of each other.
    pub fn planned(self, bounds: WarmUpBounds) -> Self {
        let allowed = bounds.overshoot * self.per_s + bounds.tolerance;
        let planned = (allowed - MAX_RESERVE_PERMITS) / MAX_ISSUED_PER_LIMIT;
        Self { per_s: self.per_s.min(planned.max(0.0)), ..self }
    }
}

/// Whether a server is cold, as one VM knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WarmUpState {
    /// How the servers of its pool warm up; `None` if they are never cold.
    pub rule: Option<PoolWarmUp>,
    appeared_at: Option<Uptime>,
    stated_until: Uptime,
}

impl WarmUpState {
    /// Records that the server has just appeared in a list that was read before.
    pub fn record_appeared(&mut self, now: Uptime) {
        self.appeared_at = Some(now);
    }

    /// Records how long the server stays cold, by its entry or another VM. Entries are read late, so an
    /// earlier statement stays if it lasts longer.
    pub fn record_stated(&mut self, left: Duration, now: Uptime) {
        self.stated_until = self.stated_until.max(now.saturating_add(left));
    }

    /// Returns how long the server is still cold; zero if it is warm.
    pub fn left(&self, now: Uptime) -> Duration {
        let Some(rule) = self.rule else {
            return Duration::ZERO;
        };
        let after_start = self.appeared_at.map_or(Uptime::ZERO, |at| at + rule.duration);
        self.stated_until.max(after_start).saturating_sub(now)
    }

    /// Returns the requests a second that the server takes from all VMs together; `None` if it is warm.
    pub fn limit_per_s(&self, now: Uptime) -> Option<f64> {
        let rule = self.rule.filter(|_| !self.left(now).is_zero())?;
        Some(rule.per_s)
    }
}
