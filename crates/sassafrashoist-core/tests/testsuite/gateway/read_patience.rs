use std::time::Duration;

use sassafrashoist_core::gateway::read_patience::{MIN_IDLE_TIMEOUT, ReadPatience};

const VM_COUNT: Option<usize> = Some(295);

fn patience_after(failure_count: u32) -> ReadPatience {
    let mut patience = ReadPatience::default();
    (0..failure_count).for_each(|_| patience.record_failure());
    patience
}

#[test]
fn a_dead_connection_is_detected_soon_without_earlier_failures() {
    assert_eq!(ReadPatience::default().idle_timeout(VM_COUNT), MIN_IDLE_TIMEOUT);
}

#[test]
fn a_busy_service_is_given_more_time_after_each_failure() {
    let timeouts = [1, 2].map(|count| patience_after(count).idle_timeout(Some(1_000)));

    assert_eq!(timeouts, [MIN_IDLE_TIMEOUT * 2, MIN_IDLE_TIMEOUT * 4]);
}

#[test]
fn a_call_that_is_never_answered_does_not_delay_a_read_without_limit() {
    let limits = [Some(7), VM_COUNT, None].map(|count| patience_after(1_000).idle_timeout(count));

    assert_eq!(limits, [1_750, 2_655, 2_800].map(Duration::from_millis));
}

#[test]
fn the_timeout_is_short_again_after_fast_responses() {
    let mut patience = patience_after(1_000);

    (0..4).for_each(|_| patience.record_response(Duration::from_millis(5)));

    assert_eq!(patience.idle_timeout(VM_COUNT), MIN_IDLE_TIMEOUT);
}

// A timeout that returned to the shortest one at once would give up the next read again.
#[test]
fn the_timeout_stays_long_while_responses_come_late() {
    let mut patience = patience_after(1_000);

    (0..10).for_each(|_| patience.record_response(Duration::from_millis(1_500)));

    assert_eq!(patience.idle_timeout(VM_COUNT), patience_after(1_000).idle_timeout(VM_COUNT));
}
