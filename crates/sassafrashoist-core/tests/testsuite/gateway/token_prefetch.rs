use std::time::Duration;

use sassafrashoist_core::gateway::token_prefetch::TokenPrefetch;

const TYPICAL_REQUEST_TOKENS: f64 = 8_000.0;
/// A hundred typical requests a second.
const BUSY_TOKENS_PER_S: f64 = 800_000.0;

fn prefetch_with_response_time(took: Duration) -> TokenPrefetch {
    let mut prefetch = TokenPrefetch::default();
    (0..30).for_each(|_| prefetch.record_response_time(took));
    prefetch
}

#[test]
fn a_busy_vm_with_slow_responses_prefetches_what_it_uses_meanwhile() {
    let prefetch = prefetch_with_response_time(Duration::from_millis(110));

    let prefetched = prefetch.prefetch_tokens(BUSY_TOKENS_PER_S, TYPICAL_REQUEST_TOKENS);

    let used_during_one_response = (0.11 * BUSY_TOKENS_PER_S) as u64;
    assert!(prefetched > 3 * used_during_one_response, "{prefetched}");
    assert!(prefetch.is_low(
        2 * used_during_one_response as i64,
        BUSY_TOKENS_PER_S,
        TYPICAL_REQUEST_TOKENS
    ));
    assert!(!prefetch.is_low(prefetched as i64, BUSY_TOKENS_PER_S, TYPICAL_REQUEST_TOKENS));
}

#[test]
fn a_vm_with_little_load_prefetches_nothing() {
    let prefetch = prefetch_with_response_time(Duration::from_millis(4));

    assert_eq!(prefetch.prefetch_tokens(TYPICAL_REQUEST_TOKENS, TYPICAL_REQUEST_TOKENS), 0);
    assert!(!prefetch.is_low(0, TYPICAL_REQUEST_TOKENS, TYPICAL_REQUEST_TOKENS));
}

#[test]
fn the_prefetch_time_is_bounded() {
    let prefetch = prefetch_with_response_time(Duration::from_secs(20));

    assert_eq!(
        prefetch.prefetch_tokens(BUSY_TOKENS_PER_S, TYPICAL_REQUEST_TOKENS),
        BUSY_TOKENS_PER_S as u64
    );
}
