use std::time::Duration;

use sassafrashoist_core::gateway::event_allowance::EventAllowance;

/// An empty line, which ends no event.
const EMPTY_EVENT_BYTES: usize = 2;

/// Returns the number of events of this size that are allowed at this interval, at most `limit`.
fn count_allowed(
    allowance: &mut EventAllowance,
    bytes: usize,
    interval: Duration,
    limit: u32,
) -> u32 {
    (0..limit).find(|number| allowance.record_idle(bytes, interval * *number)).unwrap_or(limit)
}

// A server repeats an event, or sends comments, without end.
#[test]
fn events_that_are_not_new_are_bounded() {
    let counts = [EMPTY_EVENT_BYTES, 30, 1_000, 200_000].map(|bytes| {
        count_allowed(&mut EventAllowance::default(), bytes, Duration::from_micros(10), u32::MAX)
    });

    assert_eq!(counts, [512, 512, 65, 0]);
}

#[test]
fn keep_alive_comments_go_on_for_hours() {
    let counts = [Duration::from_secs(1), Duration::from_millis(100)]
        .map(|interval| count_allowed(&mut EventAllowance::default(), 30, interval, 36_000));

    assert_eq!(counts, [36_000, 36_000]);
}

#[test]
fn each_new_event_renews_the_allowance() {
    let mut allowance = EventAllowance::default();

    let is_bounded = (0..1_000).any(|_| {
        allowance.record_event();
        allowance.record_idle(50_000, Duration::ZERO)
    });

    assert!(!is_bounded);
}
