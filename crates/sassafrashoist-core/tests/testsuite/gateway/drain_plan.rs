use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::gateway::drain_plan::DrainPlan;

const SIGNALLED_AT: Duration = Duration::from_secs(100);
/// A request that is at work in this part of the grace period, counted from its end, may be cut off.
const CUT_OFF_DIVISOR: u32 = 6;

fn after_signal(ms: u64) -> Duration {
    SIGNALLED_AT + Duration::from_millis(ms)
}

// With a grace period of 3 s, requests were cut off 1.7 s after the signal, and with 1 s as soon as
// the listener was closed.
#[test]
fn short_grace_period_is_used_to_serve() {
    for grace_ms in [1_000, 3_000, 5_000, 8_000, 30_000] {
        let grace = Duration::from_millis(grace_ms);

        let plan = DrainPlan::new(SIGNALLED_AT, grace);

        assert!(plan.serves_until >= SIGNALLED_AT + grace - grace / CUT_OFF_DIVISOR, "{plan:?}");
        assert!(plan.closes_at < plan.serves_until, "{plan:?}");
    }
}

// A request that came after the listener was closed was passed on, and cut off at the end of the
// grace period.
#[test]
fn request_that_comes_late_is_passed_on_only_if_the_grace_period_covers_its_deadline() {
    let plan = DrainPlan::new(SIGNALLED_AT, Duration::from_secs(8));

    let early = plan.covers(after_signal(2_500), after_signal(14_500));
    let late_and_short = plan.covers(after_signal(2_700), after_signal(5_700));
    let late_and_long = plan.covers(after_signal(2_700), after_signal(14_700));

    assert!(early);
    assert!(late_and_short);
    assert!(!late_and_long);
}

proptest! {
    #[test]
    fn all_steps_fit_into_the_grace_period(grace_ms in 0_u64..60_000) {
        let grace = Duration::from_millis(grace_ms);

        let plan = DrainPlan::new(SIGNALLED_AT, grace);

        let answered_at = plan.serves_until + plan.answer_time(plan.serves_until);
        let transferred_at = answered_at + plan.transfer_time(answered_at);
        let returned_at = transferred_at + plan.return_time(transferred_at);
        prop_assert!(returned_at <= SIGNALLED_AT + grace);
        prop_assert!(answered_at <= plan.exits_at);
        prop_assert!(plan.closes_at <= plan.opened_end_at);
        prop_assert!(plan.opened_end_at <= plan.serves_until);
    }
}
