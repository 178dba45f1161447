use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::crash_book::CrashBook;
use sassafrashoist_core::gateway::crash_report::{
    ClearedParts, ClearedSuspect, CrashReport, SeenCrash, SeenPartCrash,
};
use sassafrashoist_core::requests::quarantine::{RequestFingerprint, Suspicion};

const PART: u64 = 7;

fn at(millis: u64) -> Uptime {
    Duration::from_millis(100_000 + millis)
}

fn end_server(book: &mut CrashBook, number: u64, seen_ms: u64) {
    let crash = SeenPartCrash {
        parts: vec![PART],
        server_id: format!("s{number}"),
        seen_ago: Duration::ZERO,
        sent_ago: Duration::from_millis(100),
    };
    book.record_part_crash(&crash, at(seen_ms));
    book.blame_parts(at(seen_ms));
}

/// Returns a book that blames a part after three crashes, and knows of two trials that crashed too.
fn book_after_two_trials() -> CrashBook {
    let mut book = CrashBook::default();
    (0..3).for_each(|number| end_server(&mut book, number, 1_000 * number));
    end_server(&mut book, 3, 3_500);
    end_server(&mut book, 4, 16_000);
    book
}

fn learn(book: &mut CrashBook, report: &CrashReport, now: Uptime) {
    book.record_report(report, now);
    book.blame_parts(now);
}

// A VM that restarted gave a blamed part all its trials once more.
#[test]
fn vm_that_starts_does_not_give_a_blamed_part_new_trials() {
    let known = book_after_two_trials();
    let now = at(17_000);
    let mut started = CrashBook::default();

    learn(&mut started, &known.report(now), now);

    let wait = |book: &CrashBook| book.blamed_parts(&[PART], now);
    assert_eq!(wait(&started), wait(&known));
    assert!(wait(&known)[0].1 > Duration::from_secs(500), "{:?}", wait(&known));
}

#[test]
fn vm_that_cleared_a_part_does_not_take_over_its_blame() {
    let known = book_after_two_trials();
    let now = at(17_000);
    let mut other = CrashBook::default();
    (0..3).for_each(|number| end_server(&mut other, number, 1_000 * number));
    other.parts.clear(PART, at(16_500));

    learn(&mut other, &known.report(now), now);

    assert_eq!(other.blamed_parts(&[PART], now), []);
}

// A clearance was lost if the receiver did not know the crash that it refers to.
#[test]
fn clearance_in_the_report_that_names_its_crash_counts() {
    let fingerprint = RequestFingerprint::of_http(None, "GET", "/x", b"");
    let seen_ago = Duration::from_secs(2);
    let ago = Duration::from_secs(1);
    let report = CrashReport {
        crashes: vec![SeenCrash {
            fingerprint: fingerprint.clone(),
            server_id: "s1".into(),
            seen_ago,
            ran_for: Duration::ZERO,
        }],
        cleared: vec![ClearedSuspect { fingerprint: fingerprint.clone(), cleared_ago: ago }],
        part_crashes: vec![SeenPartCrash {
            parts: vec![PART],
            server_id: "s1".into(),
            seen_ago,
            sent_ago: seen_ago,
        }],
        cleared_parts: vec![ClearedParts { parts: vec![PART], sent_ago: ago }],
        ..CrashReport::default()
    };
    let mut book = CrashBook::default();

    book.record_report(&report, at(0));

    assert_eq!(book.table.suspicion(&fingerprint, at(0)), Suspicion::None);
    assert!(!book.parts.has_crashes(PART));
}

#[test]
fn servers_that_a_blamed_part_explains_do_not_count_against_requests() {
    let fingerprint = RequestFingerprint::of_http(None, "POST", "/x", b"sound");
    let mut book = CrashBook::default();
    for number in 0..2 {
        let crash = SeenCrash {
            fingerprint: fingerprint.clone(),
            server_id: format!("s{number}"),
            seen_ago: Duration::ZERO,
            ran_for: Duration::ZERO,
        };
        book.record_crash(&crash, at(1_000 * number));
    }
    let before = book.table.suspicion(&fingerprint, at(2_000));

    (0..3).for_each(|number| end_server(&mut book, number, 1_000 * number));

    assert!(matches!(before, Suspicion::Quarantined(_)));
    assert_eq!(book.table.suspicion(&fingerprint, at(2_000)), Suspicion::None);
}

#[test]
fn repeat_of_a_report_carries_its_age() {
    let mut report = book_after_two_trials().report(at(17_000));
    let fresh = report.clone();

    report.add_age(Duration::from_millis(100));

    let (mut one, mut other) = (CrashBook::default(), CrashBook::default());
    learn(&mut one, &fresh, at(17_000));
    learn(&mut other, &report, at(17_100));
    assert_eq!(one.parts.sightings_of(PART), other.parts.sightings_of(PART));
}
