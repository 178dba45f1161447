use std::time::Duration;

use sassafrashoist_core::gateway::stall_watch::{StallWatch, TICK_INTERVAL};

const START: Duration = Duration::from_secs(100);
const STALL: Duration = Duration::from_millis(1_200);

/// A process that has run for a second.
fn running() -> StallWatch {
    let mut watch = StallWatch::default();
    watch.record_running(START - Duration::from_secs(60));
    for tick in (0..=10).rev() {
        watch.record_running(START - TICK_INTERVAL * tick);
    }
    watch
}

#[test]
fn nothing_has_waited_while_the_process_runs() {
    let mut watch = running();

    let stall = watch.record_running(START + 2 * TICK_INTERVAL);

    assert_eq!(stall, None);
    assert_eq!(watch.longest_wait(START + 2 * TICK_INTERVAL), Duration::ZERO);
}

#[test]
fn what_is_read_after_a_stall_may_have_waited_since_its_beginning() {
    let mut watch = running();
    let resumed_at = START + STALL;

    let stall = watch.record_running(resumed_at);

    assert_eq!(stall, Some(STALL));
    assert_eq!(watch.longest_wait(resumed_at), STALL);
    assert_eq!(watch.longest_wait(resumed_at + TICK_INTERVAL), STALL + TICK_INTERVAL);
    assert_eq!(watch.stall_ended_at(), Some(resumed_at));
}

#[test]
fn nothing_has_waited_some_time_after_a_stall() {
    let mut watch = running();
    let mut now = START + STALL;
    watch.record_running(now);
    for _ in 0..10 {
        now += TICK_INTERVAL;
        watch.record_running(now);
    }

    assert_eq!(watch.longest_wait(now), Duration::ZERO);
}
