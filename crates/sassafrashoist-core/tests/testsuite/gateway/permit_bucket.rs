use std::time::Duration;

use sassafrashoist_core::gateway::permit_bucket::{
    PermitBucket, PermitDecision, PermitRate, PermitTicket,
};

const START: Duration = Duration::from_secs(100);
const MAX_WAIT: Duration = Duration::from_secs(1);

fn rate(limit_per_s: f64) -> PermitRate {
    PermitRate { limit_per_s, share: 1.0 }
}

fn wait(bucket: &mut PermitBucket, limit_per_s: f64, priority: u8) -> PermitTicket {
    match bucket.request(rate(limit_per_s), priority, MAX_WAIT, START) {
        PermitDecision::Waits(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_most_urgent_request_that_waits_gets_the_next_permit() {
    let mut bucket = PermitBucket::new(START);
    let (late, urgent) = (wait(&mut bucket, 5.0, 3), wait(&mut bucket, 5.0, 0));
    let first_permit_at = START + Duration::from_millis(200);

    let for_late = bucket.take_waiting(late, rate(5.0), first_permit_at);
    let for_urgent = bucket.take_waiting(urgent, rate(5.0), first_permit_at);

    assert!(for_late.is_err());
    assert_eq!(for_urgent, Ok(()));
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    let mut bucket = PermitBucket::new(START);

    let decision = bucket.request(rate(0.5), 0, MAX_WAIT, START);

    let next_in = Duration::from_secs(2);
    assert_eq!(decision, PermitDecision::Refused { next_in, return_in: next_in });
}

// Callers that are all told the time of the next permit come back together, and all but one again.
#[test]
fn refused_requests_are_told_to_return_one_after_the_other() {
    let mut bucket = PermitBucket::new(START);

    let return_times: Vec<_> =
        (0..4).map(|_| bucket.refuse(rate(2.0), START).1.as_millis()).collect();

    assert_eq!(return_times, [500, 1_000, 1_500, 2_000]);
}

#[test]
fn a_server_that_takes_no_requests_is_asked_again_at_times() {
    let mut bucket = PermitBucket::new(START);
    bucket.request(rate(0.0), 0, Duration::ZERO, START);

    let after_s = |s: u64| START + Duration::from_secs(s);
    let early = bucket.request(rate(0.0), 0, Duration::ZERO, after_s(9));
    let due = bucket.request(rate(0.0), 0, Duration::ZERO, after_s(10));
    let next = bucket.request(rate(0.0), 0, Duration::ZERO, after_s(19));

    assert!(matches!(early, PermitDecision::Refused { .. }));
    assert_eq!(due, PermitDecision::Issued);
    assert!(matches!(next, PermitDecision::Refused { .. }));
}

#[test]
fn a_huge_limit_neither_overflows_nor_refuses() {
    let mut bucket = PermitBucket::new(START);

    for _ in 0..1_000 {
        let decision = bucket.request(rate(1e6), 0, Duration::ZERO, START + Duration::from_secs(1));
        assert_eq!(decision, PermitDecision::Issued);
    }
}
