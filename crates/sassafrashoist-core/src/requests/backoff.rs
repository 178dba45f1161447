//! Exponential backoff with jitter before a retry, and the timeout that one hop forwards to the
//! next.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::AttemptNumber;

/// The longest delay before the second attempt.
const FIRST_MAX_DELAY: Duration = Duration::from_millis(20);
/// The longest delay before any attempt.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Time that a hop reserves from a deadline to send its own response.
const HOP_MARGIN: Duration = Duration::from_millis(20);

/// Returns the delay after a failed attempt: exponential backoff with full jitter.
///
/// The jitter is a hash of the seed, the key and the attempt, so it is reproducible from the seed.
pub fn retry_delay(seed: u64, key: &str, failed_attempt: AttemptNumber) -> Duration {
    let doublings = failed_attempt.saturating_sub(1).min(16);
    let max_delay = FIRST_MAX_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY);
    let hash = xxh3_64_with_seed(key.as_bytes(), seed.wrapping_add(u64::from(failed_attempt)));
    Duration::from_micros(hash % (max_delay.as_micros() as u64 + 1))
}

/// Returns the timeout for the next hop, given the time left; `None` when too little is left.
pub fn hop_timeout(left: Duration) -> Option<Duration> {
    let next = left.checked_sub(HOP_MARGIN)?;
    (!next.is_zero()).then_some(next)
}
