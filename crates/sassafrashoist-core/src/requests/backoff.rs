//! The wait before a retry, and what a hop leaves of a deadline.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::AttemptNumber;

/// The bound of the wait before the second attempt.
const FIRST_BOUND: Duration = Duration::from_millis(20);
/// The bound that no wait exceeds.
const MAX_BOUND: Duration = Duration::from_millis(500);
/// Time that a hop keeps of a deadline for its own answer.
const HOP_MARGIN: Duration = Duration::from_millis(20);

/// Returns the wait after a failed attempt: a jittered, growing part of a bound.
///
/// The jitter is drawn from the seed, the key and the attempt, so a run with one seed repeats.
pub fn retry_delay(seed: u64, key: &str, failed_attempt: AttemptNumber) -> Duration {
    let doublings = failed_attempt.saturating_sub(1).min(16);
    let bound = FIRST_BOUND.saturating_mul(1 << doublings).min(MAX_BOUND);
    let drawn = xxh3_64_with_seed(key.as_bytes(), seed.wrapping_add(u64::from(failed_attempt)));
    Duration::from_micros(drawn % (bound.as_micros() as u64 + 1))
}

/// Returns what the next hop may take of the time that is left, or `None` when it is too little.
pub fn hop_timeout(left: Duration) -> Option<Duration> {
    let next = left.checked_sub(HOP_MARGIN)?;
    (!next.is_zero()).then_some(next)
}
