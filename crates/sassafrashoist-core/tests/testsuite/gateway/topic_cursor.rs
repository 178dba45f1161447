use std::time::Duration;

use sassafrashoist_core::gateway::topic_cursor::{NextRead, TopicCursor};

const NOW: Duration = Duration::from_secs(100);

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
