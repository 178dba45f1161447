//! Percentiles of durations.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Significant digits of recorded durations.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of durations in microseconds.
#[derive(Debug, Clone)]
pub struct Percentiles {
    histogram: Histogram<u64>,
}

impl Default for Percentiles {
    fn default() -> Self {
        Self::new()
    }
}

impl Percentiles {
    /// Creates an empty histogram.
    ///
    /// # Panics
    ///
    /// Never: the number of digits is a constant that the histogram takes.
    #[allow(clippy::expect_used)]
    pub fn new() -> Self {
        Self { histogram: Histogram::new(SIGNIFICANT_DIGITS).expect("digits are in range") }
    }

    /// Adds a duration.
    pub fn record(&mut self, duration: Duration) {
        // Fails only for a histogram of fixed size; this one grows.
        let _ = self.histogram.record(duration.as_micros() as u64);
    }

    /// Returns a percentile in milliseconds.
    pub fn at_ms(&self, percentile: f64) -> f64 {
        self.histogram.value_at_percentile(percentile) as f64 / 1000.0
    }

    /// Returns the 50th, 95th and 99th percentile in milliseconds.
    pub fn summary(&self) -> Value {
        json!({ "p50_ms": self.at_ms(50.0), "p95_ms": self.at_ms(95.0), "p99_ms": self.at_ms(99.0) })
    }
}
