//! An exponentially weighted moving average of durations.

use std::time::Duration;

/// The weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MovingAverage {
    seconds: Option<f64>,
}

impl MovingAverage {
    /// Adds a sample.
    pub fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        let previous = self.seconds.unwrap_or(sample);
        self.seconds = Some(previous + SAMPLE_WEIGHT * (sample - previous));
    }

    /// Returns the average; none before the first sample.
    pub fn value(&self) -> Option<Duration> {
        self.seconds.map(Duration::from_secs_f64)
    }
}
