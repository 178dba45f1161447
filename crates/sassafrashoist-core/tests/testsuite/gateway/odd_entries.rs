use std::time::Duration;

use sassafrashoist_core::gateway::odd_entries::OddEntries;

const NOW: Duration = Duration::from_secs(100);

#[test]
fn entry_is_logged_once_until_it_is_written_again() {
    let mut entries = OddEntries::default();

    let lines = [entries.record("a", 1, NOW), entries.record("a", 1, NOW * 2)];
    let written_again = entries.record("a", 2, NOW * 2);

    assert_eq!((lines, written_again), ([Some(0), None], Some(0)));
}

// Another writer may leave thousands of entries at once.
#[test]
fn lines_about_entries_are_bounded_and_name_how_many_are_left_out() {
    let mut entries = OddEntries::default();
    let mut record = |number: u64, now| entries.record(&number.to_string(), number, now);

    let line_count = (0..10_000).filter(|number| record(*number, NOW).is_some()).count();
    let later = record(10_000, NOW + Duration::from_secs(1));

    assert_eq!((line_count, later), (10, Some(9_990)));
}
