//! Tests of how long a request waits for the origin of its stream.

use std::time::Duration;

use sassafrashoist_core::gateway::origin_wait::OriginWait;

const ARRIVED_AT: Duration = Duration::from_secs(100);
const DEADLINE: Duration = Duration::from_secs(115);
const TARGET_LATENCY: Duration = Duration::from_millis(800);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// All callers of a fleet that has just started return before its server list can be relied on.
#[test]
fn take_up_just_before_the_server_list_can_be_relied_on_is_not_refused() {
    let wait = OriginWait::begin(ARRIVED_AT, DEADLINE, TARGET_LATENCY);

    let delay = wait.next_delay(Some(ms(2_300)), ARRIVED_AT);

    assert_eq!(delay, Some(ms(2_300)));
}

// A caller that has given up the stream must not hold a place in this VM.
#[test]
fn origin_that_comes_after_the_caller_gives_up_is_not_waited_for() {
    let wait = OriginWait::begin(ARRIVED_AT, DEADLINE, TARGET_LATENCY);

    let too_long = wait.next_delay(Some(ms(2_500)), ARRIVED_AT);
    let too_late = wait.next_delay(None, ARRIVED_AT + ms(2_300));

    assert_eq!((too_long, too_late), (None, None));
}

// Reads that fail for a moment must not end all streams that return meanwhile.
#[test]
fn origin_is_looked_for_again_where_no_time_is_known() {
    let wait = OriginWait::begin(ARRIVED_AT, DEADLINE, TARGET_LATENCY);
    let mut now = ARRIVED_AT;
    let mut tries = 0;

    while let Some(delay) = wait.next_delay(None, now) {
        now += delay;
        tries += 1;
    }

    assert!((10..=20).contains(&tries), "{tries}");
}

// The stream needs the time that is left.
#[test]
fn wait_leaves_half_of_the_time_to_the_stream() {
    let wait = OriginWait::begin(ARRIVED_AT, ARRIVED_AT + ms(1_000), TARGET_LATENCY);

    let within = wait.next_delay(Some(ms(500)), ARRIVED_AT);
    let beyond = wait.next_delay(Some(ms(501)), ARRIVED_AT);

    assert_eq!((within, beyond), (Some(ms(500)), None));
}
