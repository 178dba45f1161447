//! An exponentially decaying rate of events.

use std::time::Duration;

use crate::ids::Timestamp;

/// Time after which an event has 1/e of the weight of a new one.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// The recent rate of events, weighted by their age.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateMeter {
    per_second: f64,
    updated_at: Timestamp,
}

impl RateMeter {
    /// Counts an event.
    pub fn record(&mut self, now: Timestamp) {
        self.per_second = self.per_second(now) + 1.0 / DECAY_TIME.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the events per second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_second * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
