use std::time::Duration;

use sassafrashoist_core::gateway::inbox_watch::InboxWatch;

const NOW: Duration = Duration::from_secs(100);
const TICK: Duration = Duration::from_millis(100);

#[test]
fn datagram_has_waited_since_the_socket_was_empty_at_the_most() {
    let mut watch = InboxWatch::default();
    watch.record_empty(NOW);

    assert_eq!(watch.longest_wait(NOW + TICK), TICK);
}

// A VM that is short of processor time does not stand still, but its datagrams wait for seconds.
#[test]
fn datagrams_wait_longer_while_the_socket_never_empties() {
    let mut watch = InboxWatch::default();
    watch.record_empty(NOW);
    let busy_for = 20 * TICK;

    let while_busy = watch.longest_wait(NOW + busy_for);
    watch.record_empty(NOW + busy_for);

    assert_eq!(while_busy, busy_for);
    assert_eq!(watch.longest_wait(NOW + busy_for), Duration::ZERO);
}

#[test]
fn datagrams_before_the_first_look_may_have_waited_since_the_start() {
    assert_eq!(InboxWatch::default().longest_wait(NOW), NOW);
}
