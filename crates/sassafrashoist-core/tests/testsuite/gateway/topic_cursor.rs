use std::time::Duration;

use sassafrashoist_core::gateway::read_patience::ReadPatience;
use sassafrashoist_core::gateway::topic_cursor::{NextRead, TopicCursor};

const NOW: Duration = Duration::from_secs(100);
const READ_WAIT: Duration = Duration::from_secs(1);

fn cursor_at(next: u64) -> TopicCursor {
    let mut cursor = TopicCursor::default();
    cursor.record_newest(next, NOW);
    cursor
}

#[test]
fn the_first_read_is_of_the_newest_records() {
    assert_eq!(TopicCursor::default().next_read(NOW), NextRead::Newest);
}

#[test]
fn appended_records_are_read_while_connected() {
    let mut cursor = cursor_at(40);
    cursor.record_read(42, 42, NOW);

    assert_eq!(cursor.next_read(NOW + Duration::from_secs(1)), NextRead::From(42));
}

#[test]
fn the_newest_records_are_read_after_a_long_outage() {
    let cursor = cursor_at(40);

    assert_eq!(cursor.next_read(NOW + Duration::from_secs(8)), NextRead::Newest);
}

#[test]
fn the_newest_records_are_read_when_a_read_did_not_reach_the_end() {
    let mut cursor = cursor_at(40);
    cursor.record_read(44, 60, NOW);

    assert_eq!(cursor.next_read(NOW), NextRead::Newest);
}

#[test]
fn the_newest_records_are_read_when_the_history_was_trimmed() {
    let mut cursor = cursor_at(40);
    cursor.record_trimmed();

    assert_eq!(cursor.next_read(NOW), NextRead::Newest);
}

#[test]
fn own_records_are_skipped_unless_other_records_were_missed() {
    let mut cursor = cursor_at(40);
    cursor.skip_to(41);
    assert_eq!(cursor.next_read(NOW), NextRead::From(41));

    cursor.record_trimmed();
    cursor.skip_to(42);
    assert_eq!(cursor.next_read(NOW), NextRead::Newest);
}

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

        let longest_read = READ_WAIT + patience.idle_timeout(Some(vm_count));

        cursor.record_given_up(longest_read);
        let next_read = cursor.next_read(read_at + longest_read);

        assert_eq!(next_read, NextRead::From(10), "{vm_count} VMs");
    }
}

#[test]
fn reads_that_are_given_up_again_and_again_are_a_long_outage() {
    let mut cursor = cursor_at(40);
    (0..3).for_each(|_| cursor.record_given_up(Duration::from_millis(1_700)));

    assert_eq!(cursor.next_read(NOW + Duration::from_millis(5_100)), NextRead::Newest);
}
