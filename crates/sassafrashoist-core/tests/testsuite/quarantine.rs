use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::requests::quarantine::{
    CrashSighting, QuarantineTable, RequestMark, Suspicion,
};

const NOW: Duration = Duration::from_secs(1_000);

fn mark(number: u8) -> RequestMark {
    RequestMark { account_id: "a".into(), body_hash: u128::from(number) }
}

fn crash(number: u8, server_id: &str) -> CrashSighting {
    CrashSighting { mark: mark(number), server_id: server_id.into(), seen_at: NOW }
}

#[test]
fn quarantine_takes_a_request_that_crashed_two_servers_until_it_expires() {
    let mut table = QuarantineTable::default();
    table.record(&crash(1, "s1"));
    let after_one = table.suspicion(&mark(1), NOW);

    table.record(&crash(1, "s2"));

    let until = NOW + Duration::from_secs(600);
    assert_eq!(after_one, Suspicion::Suspect);
    assert_eq!(table.suspicion(&mark(1), NOW), Suspicion::Quarantined(until));
    assert_eq!(table.suspicion(&mark(1), until), Suspicion::None);
}

#[test]
fn quarantine_counts_a_crash_that_several_vms_report_once() {
    let mut table = QuarantineTable::default();

    let is_new = [table.record(&crash(1, "s1")), table.record(&crash(1, "s1"))];

    assert_eq!(is_new, [true, false]);
    assert_eq!(table.suspicion(&mark(1), NOW), Suspicion::Suspect);
}

#[test]
fn quarantine_clears_a_suspect_that_ends_well() {
    let mut table = QuarantineTable::default();
    table.record(&crash(1, "s1"));

    table.record_harmless(&mark(1), NOW);
    table.record(&crash(1, "s2"));

    assert_eq!(table.suspicion(&mark(1), NOW), Suspicion::Suspect);
}

#[test]
fn copies_of_a_request_go_to_one_server_until_it_is_harmless() {
    let mut table = QuarantineTable::default();
    table.place(&mark(1), "s1", false);
    let before = table.placed_at(&mark(1)).cloned();

    table.record_harmless(&mark(1), NOW);

    assert_eq!(before.as_deref(), Some("s1"));
    assert_eq!(table.placed_at(&mark(1)), None);
}

proptest! {
    #[test]
    fn quarantine_is_the_same_in_whatever_order_sightings_arrive(
        crashes in prop::collection::vec((0u8..4, 0u8..3), 0..12),
        turn in 0usize..12,
    ) {
        let sightings: Vec<_> =
            crashes.iter().map(|(number, server)| crash(*number, &format!("s{server}"))).collect();
        let mut turned = sightings.clone();
        turned.rotate_left(turn.min(sightings.len()));
        let (mut one, mut other) = (QuarantineTable::default(), QuarantineTable::default());

        sightings.iter().for_each(|sighting| { one.record(sighting); });
        turned.iter().for_each(|sighting| { other.record(sighting); });

        for number in 0..4 {
            prop_assert_eq!(
                one.suspicion(&mark(number), NOW),
                other.suspicion(&mark(number), NOW)
            );
        }
    }
}
