use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::crash_outbox::CrashOutbox;
use sassafrashoist_core::gateway::crash_report::{
    ClearedSuspect, CrashReport, SeenCrash, SeenPartCrash,
};
use sassafrashoist_core::requests::quarantine::RequestFingerprint;

/// The requests that an engine has in progress when it ends.
const SLOT_COUNT: u64 = 12;
const MAX_BYTES: usize = 1_000;
/// The bytes of an entry, for these tests.
const ENTRY_BYTES: usize = 150;

fn at(millis: u64) -> Uptime {
    Duration::from_millis(100_000 + millis)
}

fn crash_of_request(number: u64) -> CrashReport {
    CrashReport {
        crashes: vec![SeenCrash {
            fingerprint: RequestFingerprint::of_http(None, "POST", "/x", &number.to_le_bytes()),
            server_id: "s1".into(),
            seen_ago: Duration::ZERO,
            ran_for: Duration::ZERO,
        }],
        part_crashes: vec![SeenPartCrash {
            parts: vec![number],
            server_id: "s1".into(),
            seen_ago: Duration::ZERO,
            sent_ago: Duration::ZERO,
        }],
        ..CrashReport::default()
    }
}

fn entry_count(report: &CrashReport) -> usize {
    report.crashes.len() + report.cleared.len() + report.part_crashes.len()
}

fn encoded_bytes(report: &CrashReport) -> usize {
    ENTRY_BYTES * entry_count(report)
}

// Each request of an engine that ended cost a datagram to every VM; VMs of large fleets had no
// processor time left for requests.
#[test]
fn end_of_an_engine_costs_few_datagrams() {
    let mut outbox = CrashOutbox::default();

    let is_first: Vec<_> =
        (0..SLOT_COUNT).map(|number| outbox.add(crash_of_request(number), at(number))).collect();
    let datagrams = outbox.take(at(20)).split(MAX_BYTES, encoded_bytes);

    assert_eq!(is_first.iter().filter(|is_first| **is_first).count(), 1);
    assert_eq!(datagrams.len(), 4);
    assert!(datagrams.iter().all(|datagram| encoded_bytes(datagram) <= MAX_BYTES));
    assert_eq!(datagrams.iter().map(entry_count).sum::<usize>(), 24);
}

// A quarter of 256 engines ends at once, each with requests of 12 random VMs.
#[test]
fn end_of_many_engines_costs_fewer_datagrams_than_reports() {
    for vm_count in [60, 336] {
        let mut rng = StdRng::seed_from_u64(11);
        let mut outboxes: Vec<_> = (0..vm_count).map(|_| CrashOutbox::default()).collect();
        let report_count = 64 * SLOT_COUNT;
        for number in 0..report_count {
            let vm = rng.random_range(0..vm_count);
            outboxes[vm].add(crash_of_request(number), at(number % 10));
        }

        let datagrams: Vec<_> = outboxes
            .iter_mut()
            .map(|outbox| outbox.take(at(10)).split(MAX_BYTES, encoded_bytes).len())
            .collect();

        let most_entries = 1 + 2 * report_count as usize * ENTRY_BYTES / MAX_BYTES;
        let sent: usize = datagrams.iter().sum();
        assert!(sent <= vm_count + most_entries, "{vm_count} VMs: {sent}");
        assert!(sent < report_count as usize, "{vm_count} VMs: {sent}");
    }
}

// The sum of the lengths overflowed.
#[test]
fn entry_whose_length_is_not_known_is_a_part_of_its_own() {
    let report = crash_of_request(1);

    let parts = report.split(MAX_BYTES, |_| usize::MAX);

    assert_eq!(parts.iter().map(entry_count).collect::<Vec<_>>(), [1, 1]);
}

#[test]
fn reports_are_sent_once_with_their_own_ages() {
    let mut outbox = CrashOutbox::default();
    outbox.add(crash_of_request(1), at(0));
    outbox.add(crash_of_request(2), at(8));

    let report = outbox.take(at(10));
    let again = outbox.take(at(20));
    let is_first = outbox.add(crash_of_request(3), at(30));

    let ages: Vec<_> = report.crashes.iter().map(|crash| crash.seen_ago.as_millis()).collect();
    assert_eq!(ages, [10, 2]);
    assert_eq!(again, CrashReport::default());
    assert!(is_first);
}

#[test]
fn entry_that_is_too_long_does_not_take_others_with_it() {
    let cleared = |number: u8| ClearedSuspect {
        fingerprint: RequestFingerprint::of_http(None, "POST", "/x", &[number]),
        cleared_ago: Duration::ZERO,
    };
    let report = CrashReport { cleared: vec![cleared(1), cleared(2)], ..crash_of_request(3) };

    let parts = report.split(ENTRY_BYTES / 2, encoded_bytes);

    assert_eq!(parts.iter().map(entry_count).collect::<Vec<_>>(), [1; 4]);
}
