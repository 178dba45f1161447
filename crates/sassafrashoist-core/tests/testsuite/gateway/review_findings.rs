//! Faults found by reading the change for issue 39.

use std::time::Duration;

use sassafrashoist_core::gateway::hand_over::plan_hand_overs;
use sassafrashoist_core::gateway::read_patience::ReadPatience;
use sassafrashoist_core::gateway::topic_cursor::{NextRead, TopicCursor};

use super::simulated_fleet::{ACCOUNT, holding_of};

const READ_WAIT: Duration = Duration::from_secs(1);

// A timeout beyond the time for which a cursor keeps its position turns each read that is given up
// into one of the whole topic.
#[test]
fn read_that_is_given_up_once_is_not_repeated_as_one_of_the_whole_topic() {
    for vm_count in [7, 295, 1_000] {
        let mut patience = ReadPatience::default();
        (0..4).for_each(|_| patience.record_failure());
        let read_at = Duration::from_secs(100);
        let mut cursor = TopicCursor::default();
        cursor.record_read(10, 10, read_at);

        let given_up_at = read_at + READ_WAIT + patience.idle_timeout(Some(vm_count));

        assert_eq!(cursor.next_read(given_up_at), NextRead::From(10), "{vm_count} VMs");
    }
}

#[test]
fn failure_of_one_receiver_strands_a_part_of_a_single_account() {
    let tokens = vec![(ACCOUNT.to_owned(), 14_400_000)];

    let hand_overs = plan_hand_overs(&["a", "b", "c"], &["d"], tokens, 0.5);

    assert!(hand_overs.len() > 1, "{hand_overs:?}");
}

/// More transfers than reach an allocator while another VM repeats a message to it.
const OTHER_TRANSFERS: u64 = 600;

// Requests that get nothing took the place of one that got tokens, whose response was lost.
#[test]
fn repeated_request_gets_the_first_response_after_many_that_got_nothing() {
    let mut holding = holding_of("vm-1", 1, ([10, 0, 0, 1], 7_000).into());
    holding.receive_tokens(ACCOUNT, 10_000);
    let now = Duration::from_secs(100);
    let repeated = ("vm-2/1".to_owned(), 1);
    let given = holding.send_tokens(repeated.clone(), ACCOUNT, 1_000, 1_000, now);
    for count in 0..OTHER_TRANSFERS {
        holding.send_tokens(("vm-3/1".to_owned(), count), "without-tokens", 1_000, 1_000, now);
    }

    let left = holding.spendable_tokens(ACCOUNT, now);
    let given_again = holding.send_tokens(repeated, ACCOUNT, 1_000, 1_000, now);

    assert_eq!((given_again, holding.spendable_tokens(ACCOUNT, now)), (given, left));
}

// A hand-over whose response was lost was taken in twice.
#[test]
fn repeated_hand_over_is_taken_in_once_after_many_others() {
    let mut holding = holding_of("vm-1", 1, ([10, 0, 0, 1], 7_000).into());
    let repeated = ("vm-2/1".to_owned(), 1);
    holding.receive_transfer(&repeated, &[(ACCOUNT.to_owned(), 1_000)]);
    for count in 0..OTHER_TRANSFERS {
        holding.receive_transfer(&("vm-3/1".to_owned(), count), &[]);
    }

    holding.receive_transfer(&repeated, &[(ACCOUNT.to_owned(), 1_000)]);

    assert_eq!(holding.spendable_tokens(ACCOUNT, Duration::from_secs(100)), 1_000);
}
