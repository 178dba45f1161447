use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::crash_book::CrashBook;
use sassafrashoist_core::gateway::crash_report::{CrashReport, SeenPartCrash};

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
