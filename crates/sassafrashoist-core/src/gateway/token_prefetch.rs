//! How many tokens to request from other VMs ahead of demand, on a VM that does not draw tokens.
//!
//! Suppose one VM receives a hundred requests a second of one account, and its narrow link delays
//! every response of the other VMs. If the VM requested the tokens of each caller's request only
//! when that request arrives, every caller would wait for a full round trip. So a VM under steady
//! load requests as many tokens as it uses during several round trips, and does so before it runs
//! out. A VM with little load prefetches nothing: tokens that many VMs hold for use that never
//! comes are lost when their processes end.

use std::time::Duration;

use crate::ids::Tokens;

/// The number of round trips whose expected token use is prefetched.
const PREFETCH_ROUND_TRIPS: u32 = 5;
/// The shortest time whose expected token use is prefetched.
const MIN_PREFETCH_TIME: Duration = Duration::from_millis(100);
/// The longest such time.
const MAX_PREFETCH_TIME: Duration = Duration::from_secs(1);
/// The fraction of the prefetch amount below which a VM prefetches again.
const LOW_FRACTION: f64 = 0.5;
/// The weight of one sample in the moving average of response times.
const RESPONSE_TIME_SAMPLE_WEIGHT: f64 = 0.3;

/// Decides how many tokens to request from other VMs ahead of demand, on a VM that does not draw
/// tokens.
#[derive(Debug, Default)]
pub struct TokenPrefetch {
    average_response_s: f64,
}

impl TokenPrefetch {
    /// Records how long another VM took to respond.
    pub fn record_response_time(&mut self, took: Duration) {
        self.average_response_s +=
            RESPONSE_TIME_SAMPLE_WEIGHT * (took.as_secs_f64() - self.average_response_s);
    }

    /// Returns the tokens to prefetch at a rate of use; 0 if that is less than a typical request
    /// needs.
    pub fn prefetch_tokens(&self, use_tokens_per_s: f64, typical_request_tokens: f64) -> Tokens {
        let round_trips = Duration::from_secs_f64(self.average_response_s) * PREFETCH_ROUND_TRIPS;
        let prefetch = round_trips.clamp(MIN_PREFETCH_TIME, MAX_PREFETCH_TIME).as_secs_f64()
            * use_tokens_per_s;
        if prefetch < typical_request_tokens { 0 } else { prefetch as Tokens }
    }

    /// Returns whether so few tokens are held that the VM should prefetch more.
    pub fn is_low(
        &self,
        held_tokens: i64,
        use_tokens_per_s: f64,
        typical_request_tokens: f64,
    ) -> bool {
        let prefetch = self.prefetch_tokens(use_tokens_per_s, typical_request_tokens);
        prefetch > 0 && (held_tokens as f64) < LOW_FRACTION * prefetch as f64
    }
}
