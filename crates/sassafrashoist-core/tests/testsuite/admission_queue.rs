//! Which requests the admission queue accepts, refuses, evicts and serves next.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::ids::Timestamp;
use sassafrashoist_core::routing::admission_queue::{
    AdmissionQueue, MAX_QUEUED_REQUESTS, OfferOutcome, QueuedRequest, jittered_retry_delay,
};

const NOW: Timestamp = Duration::from_secs(1_000);
/// Requests served per second.
const RATE: f64 = 100.0;
/// The rate that means unknown.
const NO_RATE: f64 = 0.0;

fn queued_request(ticket: u64, account_id: &str, priority: u8) -> QueuedRequest {
    QueuedRequest {
        ticket,
        account_id: account_id.to_owned(),
        priority,
        cost_tokens: 100,
        give_up_at: NOW + Duration::from_secs(1),
    }
}

fn drain(queue: &mut AdmissionQueue) -> Vec<QueuedRequest> {
    std::iter::from_fn(|| queue.take_next()).collect()
}

#[test]
fn queue_sends_more_urgent_requests_first() {
    let mut queue = AdmissionQueue::default();
    for (ticket, priority) in [(1, 9), (2, 5), (3, 0), (4, 5)] {
        queue.offer(queued_request(ticket, "a", priority), NOW, NO_RATE);
    }

    let order: Vec<_> = drain(&mut queue).iter().map(|request| request.ticket).collect();

    assert_eq!(order, [3, 2, 4, 1]);
}

#[test]
fn queue_refuses_only_the_account_whose_own_queue_is_long() {
    let mut queue = AdmissionQueue::default();
    for ticket in 0..200 {
        queue.offer(queued_request(ticket, "large", 5), NOW, RATE);
    }

    let large = queue.offer(queued_request(1_000, "large", 5), NOW, RATE);
    let small = queue.offer(queued_request(1_001, "small", 5), NOW, RATE);

    assert!(matches!(large, OfferOutcome::Refused { .. }));
    assert_eq!(small, OfferOutcome::Queued);
}

#[test]
fn queue_refuses_at_once_what_more_urgent_arrivals_would_starve() {
    let mut queue = AdmissionQueue::default();
    for arrival in (0..300).rev() {
        queue.record_arrival(0, NOW - Duration::from_millis(arrival * 5));
    }
    for ticket in 0..10 {
        queue.offer(queued_request(ticket, "a", 9), NOW, RATE);
    }

    let less_urgent = queue.offer(queued_request(100, "a", 9), NOW, RATE);
    let urgent = queue.offer(queued_request(101, "a", 0), NOW, RATE);

    assert!(matches!(less_urgent, OfferOutcome::Refused { .. }));
    assert_eq!(urgent, OfferOutcome::Queued);
}

#[test]
fn queue_shares_turns_evenly_between_a_large_and_a_small_account() {
    let mut queue = AdmissionQueue::default();
    for ticket in 0..90 {
        queue.offer(queued_request(ticket, "large", 5), NOW, NO_RATE);
    }
    for ticket in 100..130 {
        queue.offer(queued_request(ticket, "small", 5), NOW, NO_RATE);
    }

    let first: Vec<_> = drain(&mut queue).into_iter().take(40).collect();

    let small = first.iter().filter(|request| request.account_id == "small").count();
    assert!((15..=25).contains(&small), "{small} of 40");
}

#[test]
fn full_queue_makes_room_for_a_more_urgent_request() {
    let mut queue = AdmissionQueue::default();
    for ticket in 0..MAX_QUEUED_REQUESTS as u64 {
        queue.offer(queued_request(ticket, "large", 9), NOW, NO_RATE);
    }

    let urgent = queue.offer(queued_request(9_000, "large", 0), NOW, NO_RATE);
    let same = queue.offer(queued_request(9_001, "large", 9), NOW, NO_RATE);

    assert!(matches!(urgent, OfferOutcome::QueuedByEvicting(_)));
    assert!(matches!(same, OfferOutcome::Refused { .. }));
    assert_eq!(queue.len(), MAX_QUEUED_REQUESTS);
}

#[test]
fn retry_delays_have_jitter() {
    let delays: BTreeSet<_> =
        (0..100).map(|random| jittered_retry_delay(Duration::ZERO, random * 37)).collect();

    assert!(delays.len() > 50);
    assert!(delays.iter().all(|delay| (1..=3).contains(&delay.as_secs())));
}

proptest! {
    /// Each queued request is taken once or removed once, and no other request is.
    #[test]
    fn queue_loses_and_doubles_nothing(
        steps in prop::collection::vec((0..4u8, 0..5usize, 0..10u8, 1..20_000u64), 1..300),
    ) {
        let mut queue = AdmissionQueue::default();
        let mut queued = BTreeSet::new();
        for (ticket, (kind, account, priority, cost_tokens)) in steps.into_iter().enumerate() {
            let ticket = ticket as u64;
            match kind {
                0 | 1 => {
                    let request = QueuedRequest {
                        cost_tokens,
                        ..queued_request(ticket, ["a", "b", "c", "d", "e"][account], priority)
                    };
                    if queue.offer(request, NOW, RATE) == OfferOutcome::Queued {
                        queued.insert((ticket, priority));
                    }
                }
                2 => {
                    let next = queue.take_next();
                    let most_urgent = queued.iter().map(|(_, priority)| *priority).min();
                    prop_assert_eq!(next.as_ref().map(|next| next.priority), most_urgent);
                    if let Some(next) = next {
                        prop_assert!(queued.remove(&(next.ticket, next.priority)));
                    }
                }
                _ => {
                    if let Some((ticket, priority)) = queued.pop_first() {
                        prop_assert!(queue.remove(ticket, priority));
                        prop_assert!(!queue.remove(ticket, priority));
                    }
                }
            }
            prop_assert_eq!(queue.len(), queued.len());
        }
        prop_assert_eq!(drain(&mut queue).len(), queued.len());
    }
}
