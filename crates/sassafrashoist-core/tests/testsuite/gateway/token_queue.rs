use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::token_holding::TokenHolding;
use sassafrashoist_core::gateway::token_queue::TokenQueue;

use super::simulated_fleet::{ACCOUNT, holding_of};

const NOW: Duration = Duration::from_secs(100);

fn holding_with(tokens: u64) -> TokenHolding {
    let mut holding = holding_of("vm-1", 1, SocketAddr::from(([10, 0, 0, 1], 7_000)));
    holding.receive_tokens(ACCOUNT, tokens);
    holding
}

/// Queues requests that arrive together at a VM that holds some tokens, fetches the tokens that the
/// queue lacks in one step, and returns how many requests got their tokens.
fn count_served_after_one_fetch(request_tokens: &[u64], held_tokens: u64) -> usize {
    let mut queue = TokenQueue::default();
    let mut holding = holding_with(held_tokens);
    for needed in request_tokens {
        queue.enqueue(ACCOUNT, *needed);
    }

    let held = holding.spendable_tokens(ACCOUNT, NOW) as u64;
    holding.receive_tokens(ACCOUNT, queue.total_needed_tokens(ACCOUNT) - held);

    std::iter::from_fn(|| queue.grant_first(ACCOUNT, &mut holding, NOW)).count()
}

#[test]
fn all_requests_of_a_burst_are_served_by_one_fetch() {
    let burst = [12_000, 900, 6_000, 900, 12_000, 900, 900, 6_000];

    let served = count_served_after_one_fetch(&burst, 11_000);

    assert_eq!(served, burst.len());
}

#[test]
fn a_large_request_is_not_overtaken_by_small_ones_behind_it() {
    let mut queue = TokenQueue::default();
    let mut holding = holding_with(2_000);
    let large = queue.enqueue(ACCOUNT, 12_000);
    queue.enqueue(ACCOUNT, 900);

    let granted_early = queue.grant_first(ACCOUNT, &mut holding, NOW);
    holding.receive_tokens(ACCOUNT, 10_000);
    let granted = queue.grant_first(ACCOUNT, &mut holding, NOW);

    assert_eq!(granted_early, None);
    assert_eq!(granted.map(|waiting| waiting.ticket), Some(large));
}

#[test]
fn a_request_that_leaves_makes_room_for_those_behind_it() {
    let mut queue = TokenQueue::default();
    let mut holding = holding_with(2_000);
    let large = queue.enqueue(ACCOUNT, 12_000);
    let small = queue.enqueue(ACCOUNT, 900);

    queue.remove(ACCOUNT, large);
    let granted = queue.grant_first(ACCOUNT, &mut holding, NOW);

    assert_eq!(granted.map(|waiting| waiting.ticket), Some(small));
    assert_eq!(queue.first(ACCOUNT), None);
    assert!(queue.waiting_accounts().is_empty());
}

#[test]
fn tokens_that_are_released_can_be_reserved_again() {
    let mut queue = TokenQueue::default();
    let mut holding = holding_with(1_000);
    queue.enqueue(ACCOUNT, 900);
    queue.grant_first(ACCOUNT, &mut holding, NOW);

    holding.release(ACCOUNT, 900);

    assert_eq!(holding.spendable_tokens(ACCOUNT, NOW), 1_000);
}
