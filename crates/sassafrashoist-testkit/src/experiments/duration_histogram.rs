//! A histogram of durations.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Significant digits of recorded durations.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of durations in microseconds.
#[derive(Debug, Clone)]
pub struct DurationHistogram {
    histogram: Histogram<u64>,
}

impl Default for DurationHistogram {
    fn default() -> Self {
        Self::new()
    }
}

impl DurationHistogram {
    /// Creates an empty histogram.
    ///
    /// # Panics
    ///
    /// Never: [`SIGNIFICANT_DIGITS`] is in the range that the histogram accepts.
    #[allow(clippy::expect_used)]
    pub fn new() -> Self {
        Self { histogram: Histogram::new(SIGNIFICANT_DIGITS).expect("digits are in range") }
    }

    /// Adds a duration.
    pub fn record(&mut self, duration: Duration) {
        // Fails only for a histogram of fixed size; this one resizes itself.
        let _ = self.histogram.record(duration.as_micros() as u64);
    }

    /// Returns a percentile in milliseconds.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.histogram.value_at_percentile(percentile) as f64 / 1000.0
    }

    /// Returns the 50th, 95th and 99th percentile in milliseconds.
    pub fn summary(&self) -> Value {
        json!({
            "p50_ms": self.percentile_ms(50.0),
            "p95_ms": self.percentile_ms(95.0),
            "p99_ms": self.percentile_ms(99.0),
        })
    }
}
