use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::gateway::retry_limiter::{RetryLimit, RetryLimiter};

const WINDOW: Duration = Duration::from_secs(10);

fn limit() -> RetryLimit {
    RetryLimit { ratio: 0.2, slack: 5.0, window: WINDOW }
}

proptest! {
    #[test]
    fn retries_stay_within_the_limit_in_every_window(
        events in proptest::collection::vec((0_u64..400, any::<bool>()), 1..400)
    ) {
        let mut limiter = RetryLimiter::default();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = Duration::ZERO;

        for (pause_ms, is_request) in events {
            now += Duration::from_millis(pause_ms);
            if is_request {
                limiter.record_request("pool", WINDOW, now);
                requests.push(now);
            } else if limiter.try_retry("pool", &limit(), now) {
                retries.push(now);
            }
        }

        for end in &retries {
            let in_window = |at: &&Duration| **at <= *end && **at + WINDOW >= *end;
            let retried = retries.iter().filter(in_window).count() as f64;
            let requested = requests.iter().filter(in_window).count() as f64;
            prop_assert!(retried <= 0.2 * requested + 5.0);
        }
    }
}

#[test]
fn each_pool_has_its_own_limit() {
    let mut limiter = RetryLimiter::default();

    while limiter.try_retry("one", &limit(), WINDOW) {}

    assert!(limiter.try_retry("other", &limit(), WINDOW));
}
