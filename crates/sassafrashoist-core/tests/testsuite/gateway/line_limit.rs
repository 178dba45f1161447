use std::time::Duration;

use sassafrashoist_core::gateway::line_limit::LineLimit;

// VMs of another build send datagrams without end that this one cannot read.
#[test]
fn repeated_event_is_logged_at_a_bounded_rate_with_the_number_of_those_that_were_not() {
    let mut limit = LineLimit::new(2);
    let events_ms = [0, 10, 20, 30, 1_000, 1_100, 1_200, 5_000];

    let logged: Vec<_> =
        events_ms.iter().map(|ms| limit.record(Duration::from_millis(*ms))).collect();

    assert_eq!(logged, [Some(0), Some(0), None, None, Some(2), Some(0), None, Some(1)]);
}
