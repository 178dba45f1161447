use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::gateway::retry_allowance::{RetryAllowance, RetryBound};

const WINDOW: Duration = Duration::from_secs(10);

fn bound() -> RetryBound {
    RetryBound { ratio: 0.2, slack: 5.0, window: WINDOW }
}

proptest! {
    #[test]
    fn repeated_sends_stay_within_the_bound_in_every_window(
        events in proptest::collection::vec((0_u64..400, any::<bool>()), 1..400)
    ) {
        let mut allowance = RetryAllowance::default();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now = Duration::ZERO;

        for (pause_ms, is_request) in events {
            now += Duration::from_millis(pause_ms);
            if is_request {
                allowance.record_request("pool", WINDOW, now);
                requests.push(now);
            } else if allowance.try_repeat("pool", &bound(), now) {
                repeats.push(now);
            }
        }

        for end in &repeats {
            let in_window = |at: &&Duration| **at <= *end && **at + WINDOW >= *end;
            let repeated = repeats.iter().filter(in_window).count() as f64;
            let requested = requests.iter().filter(in_window).count() as f64;
            prop_assert!(repeated <= 0.2 * requested + 5.0);
        }
    }
}

#[test]
fn pools_do_not_share_an_allowance() {
    let mut allowance = RetryAllowance::default();

    while allowance.try_repeat("one", &bound(), WINDOW) {}

    assert!(allowance.try_repeat("other", &bound(), WINDOW));
}
