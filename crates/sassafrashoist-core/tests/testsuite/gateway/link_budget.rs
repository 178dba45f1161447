//! Tests of which requests a VM admits to its link.

use std::time::Duration;

use sassafrashoist_core::gateway::crowding::Crowding;
use sassafrashoist_core::gateway::link_budget::{LinkBudget, LinkDemand};
use sassafrashoist_core::gateway::link_delay::LinkDelay;
use sassafrashoist_core::ids::RouteId;

const START: Duration = Duration::from_secs(100);
/// A link of 10 Mbit/s carries 1,250 bytes in this time.
const SMALL_LINK_BITS_PER_S: u64 = 10_000_000;
const TARGET_LATENCY: Duration = Duration::from_millis(120);
const BODY_BYTES: u64 = 3_200;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn budget(bits_per_s: Option<u64>) -> LinkBudget {
    let mut budget = LinkBudget::default();
    budget.set_bandwidth(bits_per_s);
    budget
}

fn demand(route_id: &RouteId, body_bytes: u64, priority: u8) -> LinkDemand<'_> {
    LinkDemand {
        route_id,
        body_bytes,
        priority,
        time_left: Duration::from_secs(10),
        shortest_target_latency: TARGET_LATENCY,
    }
}

/// Returns how many of the requests of one second are admitted, at an even rate. While the VM accepts no
/// connections, none arrive.
fn admitted_of(budget: &mut LinkBudget, per_s: u64, has_neighbours: bool) -> u64 {
    let route_id = RouteId::from("chat");
    let times =
        (0..per_s).map(|index| START + Duration::from_secs(1) * index as u32 / per_s as u32);
    let mut paused_until = START;
    let admitted = times.filter(|now| {
        if *now < paused_until {
            return false;
        }
        let demand = demand(&route_id, BODY_BYTES, 1);
        let is_admitted = budget.admit(&demand, || has_neighbours, *now).is_ok();
        let pause = budget.accept_pause(TARGET_LATENCY, *now).filter(|_| has_neighbours);
        paused_until = *now + pause.unwrap_or_default();
        is_admitted
    });
    admitted.count() as u64
}

#[test]
fn requests_that_the_link_carries_are_all_admitted() {
    let mut budget = budget(Some(SMALL_LINK_BITS_PER_S));

    let admitted = admitted_of(&mut budget, 80, true);

    assert_eq!(admitted, 80);
}

// One account's callers at one VM filled the queues of its link until nothing was served in time.
#[test]
fn requests_beyond_what_the_link_carries_are_refused() {
    let mut budget = budget(Some(SMALL_LINK_BITS_PER_S));

    let admitted = admitted_of(&mut budget, 300, true);

    // 8,096 bytes each, of 1,000,000 bytes a second that may be used, and those that may wait for 30 ms.
    assert!((80..=128).contains(&admitted), "{admitted}");
    assert!(budget.is_full(START + Duration::from_secs(1)));
}

#[test]
fn vm_with_a_wide_link_or_none_named_admits_all() {
    let mut wide = budget(Some(1_000_000_000));
    let mut unknown = budget(None);

    let admitted = (admitted_of(&mut wide, 300, true), admitted_of(&mut unknown, 300, true));

    assert_eq!(admitted, (300, 300));
}

// A VM that is alone in its data centre would otherwise refuse callers whom no other VM can serve.
#[test]
fn vm_without_neighbours_admits_what_is_served_before_its_deadline() {
    let mut budget = budget(Some(SMALL_LINK_BITS_PER_S));

    let admitted = admitted_of(&mut budget, 300, false);

    assert_eq!(admitted, 300);
}

#[test]
fn urgent_requests_find_room_when_others_do_not() {
    let mut budget = budget(Some(SMALL_LINK_BITS_PER_S));
    let route_id = RouteId::from("chat");
    let mut admit =
        |priority| budget.admit(&demand(&route_id, BODY_BYTES, priority), || true, START).is_ok();
    while admit(2) {}

    let (urgent, ordinary) = (admit(0), admit(2));

    assert_eq!((urgent, ordinary), (true, false));
}

// No request is too long for a VM with a small link.
#[test]
fn body_that_is_longer_than_all_that_may_wait_is_admitted_on_an_idle_link() {
    let mut budget = budget(Some(SMALL_LINK_BITS_PER_S));
    let route_id = RouteId::from("digest");

    let first = budget.admit(&demand(&route_id, 72_000, 2), || true, START);
    let next = budget.admit(&demand(&route_id, 72_000, 2), || true, START);
    let later = budget.admit(&demand(&route_id, 72_000, 2), || true, START + ms(100));

    assert!(first.is_ok() && next.is_err() && later.is_ok());
}

#[test]
fn length_of_responses_is_learned_by_route() {
    let mut budget = budget(Some(SMALL_LINK_BITS_PER_S));
    let route_id = RouteId::from("chat");
    budget.record_response(&route_id, 20_000);

    let admitted = admitted_of(&mut budget, 300, true);

    assert!((25..=50).contains(&admitted), "{admitted}");
}

// What moves on the link is not all known beforehand: the time to open connections shows its queues.
#[test]
fn callers_are_not_accepted_while_connections_open_late_on_a_busy_link() {
    let mut busy = budget(Some(SMALL_LINK_BITS_PER_S));
    let now = START + Duration::from_secs(1);
    admitted_of(&mut busy, 60, true);
    let before = busy.accept_pause(TARGET_LATENCY, now);
    for _ in 0..4 {
        busy.delay.record(ms(40), now);
    }

    let pause = busy.accept_pause(TARGET_LATENCY, now);

    assert_eq!((before, pause), (None, Some(ms(40))));
}

// Connections open late for other reasons too: lost packets, or servers that are out of reach.
#[test]
fn late_connections_on_an_idle_link_keep_no_callers_out() {
    let mut idle = budget(Some(SMALL_LINK_BITS_PER_S));
    for _ in 0..8 {
        idle.delay.record(ms(350), START);
    }

    let pause = idle.accept_pause(TARGET_LATENCY, START);

    assert_eq!(pause, None);
}

#[test]
fn one_slow_server_does_not_show_a_queue_at_the_link() {
    let mut delay = LinkDelay::default();
    for took in [350, 2, 350, 350] {
        delay.record(ms(took), START);
    }

    let now = delay.current(START);
    let later = delay.current(START + Duration::from_secs(1));

    assert_eq!((now, later), (ms(2), Duration::ZERO));
}

#[test]
fn vm_is_overloaded_when_it_accepts_no_callers_for_much_of_the_time() {
    let mut budget = budget(Some(SMALL_LINK_BITS_PER_S));
    let now = START + Duration::from_secs(1);
    admitted_of(&mut budget, 80, true);
    let before = budget.is_overloaded(now);

    for late_ms in 0..4 {
        (0..4).for_each(|_| budget.delay.record(ms(60), now + ms(late_ms)));
        budget.accept_pause(TARGET_LATENCY, now + ms(late_ms)).unwrap();
    }

    assert!(!before && budget.is_overloaded(now));
    assert!(!budget.is_overloaded(now + Duration::from_secs(5)));
}

// The callers of one account move together, and would come back every few seconds.
#[test]
fn vm_is_not_ready_for_longer_each_time_that_its_link_is_overloaded() {
    let mut crowding = Crowding::default();
    let enough_neighbours = 24;
    let unready_s = |crowding: &mut Crowding, now: Duration| {
        assert!(crowding.record_overload(now) && !crowding.record_overload(now));
        (0..200).find(|s| {
            !crowding.sends_callers_away(enough_neighbours, now + Duration::from_secs(*s))
        })
    };

    let first = unready_s(&mut crowding, START);
    let second = unready_s(&mut crowding, START + Duration::from_secs(60));

    assert_eq!((first, second), (Some(30), Some(60)));
}
