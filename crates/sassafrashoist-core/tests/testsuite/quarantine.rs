use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::requests::quarantine::{
    CrashSighting, QuarantineTable, RequestFingerprint, Suspicion,
};

const NOW: Duration = Duration::from_secs(1_000);

fn fingerprint(number: u8) -> RequestFingerprint {
    RequestFingerprint { account_id: "a".into(), body_hash: u128::from(number) }
}

fn crash(number: u8, server_id: &str) -> CrashSighting {
    CrashSighting { fingerprint: fingerprint(number), server_id: server_id.into(), seen_at: NOW }
}

#[test]
fn quarantine_takes_a_request_that_crashed_two_servers_until_it_expires() {
    let mut table = QuarantineTable::default();
    table.record(&crash(1, "s1"));
    let after_one = table.suspicion(&fingerprint(1), NOW);

    table.record(&crash(1, "s2"));

    let until = NOW + Duration::from_secs(600);
    assert_eq!(after_one, Suspicion::Suspect);
    assert_eq!(table.suspicion(&fingerprint(1), NOW), Suspicion::Quarantined(until));
    assert_eq!(table.suspicion(&fingerprint(1), until), Suspicion::None);
}

#[test]
fn quarantine_counts_a_crash_that_several_vms_report_once() {
    let mut table = QuarantineTable::default();

    let is_new = [table.record(&crash(1, "s1")), table.record(&crash(1, "s1"))];

    assert_eq!(is_new, [true, false]);
    assert_eq!(table.suspicion(&fingerprint(1), NOW), Suspicion::Suspect);
}

#[test]
fn quarantine_clears_a_suspect_that_ends_well() {
    let mut table = QuarantineTable::default();
    table.record(&crash(1, "s1"));

    table.record_harmless(&fingerprint(1), NOW);
    table.record(&crash(1, "s2"));

    assert_eq!(table.suspicion(&fingerprint(1), NOW), Suspicion::Suspect);
}

#[test]
fn quarantine_does_not_count_a_crash_that_another_request_explains() {
    let mut table = QuarantineTable::default();
    let at = |seconds: u64, sighting: CrashSighting| CrashSighting {
        seen_at: NOW + Duration::from_secs(seconds),
        ..sighting
    };
    let now = NOW + Duration::from_secs(20);
    table.record(&crash(1, "s1"));
    table.record(&crash(2, "s1"));
    table.record(&at(5, crash(1, "s2")));

    table.record(&at(10, crash(2, "s3")));

    assert!(matches!(table.suspicion(&fingerprint(1), now), Suspicion::Quarantined(_)));
    assert_eq!(table.suspicion(&fingerprint(2), now), Suspicion::Suspect);
}

#[test]
fn copies_of_a_request_go_to_one_server_until_it_is_harmless() {
    let mut table = QuarantineTable::default();
    table.add_copy(&fingerprint(1), "s1", false);
    let before = table.pinned_server(&fingerprint(1)).cloned();

    table.record_harmless(&fingerprint(1), NOW);

    assert_eq!(before.as_deref(), Some("s1"));
    assert_eq!(table.pinned_server(&fingerprint(1)), None);
}

proptest! {
    #[test]
    fn quarantine_is_the_same_in_whatever_order_sightings_arrive(
        crashes in prop::collection::vec((0u8..4, 0u8..3), 0..12),
        shift in 0usize..12,
    ) {
        let sightings: Vec<_> =
            crashes.iter().map(|(number, server)| crash(*number, &format!("s{server}"))).collect();
        let mut rotated = sightings.clone();
        rotated.rotate_left(shift.min(sightings.len()));
        let (mut one, mut other) = (QuarantineTable::default(), QuarantineTable::default());

        sightings.iter().for_each(|sighting| { one.record(sighting); });
        rotated.iter().for_each(|sighting| { other.record(sighting); });

        for number in 0..4 {
            prop_assert_eq!(
                one.suspicion(&fingerprint(number), NOW),
                other.suspicion(&fingerprint(number), NOW)
            );
        }
    }
}
