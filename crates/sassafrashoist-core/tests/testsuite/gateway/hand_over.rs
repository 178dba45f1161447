use sassafrashoist_core::gateway::hand_over::plan_hand_overs;
use sassafrashoist_core::gateway::token_holding::AccountTokens;

fn tokens_of(account_count: u64) -> Vec<AccountTokens> {
    (0..account_count).map(|index| (format!("account-{index}"), 10)).collect()
}

// All client VMs of a data centre handed their tokens to the same allocator.
#[test]
fn tokens_of_many_vms_are_spread_over_the_allocators_of_their_data_centre() {
    let (nearby, remote) = (["a", "b", "c"], ["d"]);

    let hand_overs = (0..300)
        .flat_map(|vm| plan_hand_overs(&nearby, &remote, tokens_of(1), f64::from(vm) / 300.0));

    let firsts: Vec<_> = hand_overs.map(|hand_over| hand_over.receivers[0]).collect();
    let counts = nearby.map(|vm| firsts.iter().filter(|first| **first == vm).count());
    assert_eq!(counts, [100; 3]);
}

#[test]
fn failure_of_one_receiver_strands_a_part_of_the_accounts() {
    let hand_overs = plan_hand_overs(&["a", "b", "c"], &["d"], tokens_of(7), 0.5);

    let counts: Vec<_> = hand_overs.iter().map(|part| part.tokens.len()).collect();
    assert_eq!(counts, [3, 2, 2]);
    let all: u64 = hand_overs.iter().flat_map(|part| &part.tokens).map(|(_, count)| count).sum();
    assert_eq!(all, 70);
}

#[test]
fn allocators_of_other_data_centres_take_tokens_in_if_no_nearby_one_does() {
    let without_nearby = plan_hand_overs(&[], &["d", "e"], tokens_of(1), 0.9);
    let with_nearby = plan_hand_overs(&["a"], &["d", "e"], tokens_of(1), 0.9);

    assert_eq!(without_nearby[0].receivers, ["e", "d"]);
    assert_eq!(with_nearby[0].receivers, ["a", "d", "e"]);
}

#[test]
fn nothing_is_handed_over_without_receivers() {
    let hand_overs = plan_hand_overs::<&str>(&[], &[], tokens_of(2), 0.0);

    assert_eq!(hand_overs, []);
}

#[test]
fn failure_of_one_receiver_strands_a_part_of_a_single_account() {
    let tokens = vec![("account-1".to_owned(), 14_400_000)];

    let hand_overs = plan_hand_overs(&["a", "b", "c"], &["d"], tokens, 0.5);

    assert!(hand_overs.len() > 1, "{hand_overs:?}");
}
