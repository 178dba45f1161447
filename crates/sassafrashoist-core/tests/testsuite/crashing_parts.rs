use std::time::Duration;

use sassafrashoist_core::requests::crashing_parts::{CrashingParts, PartCrash};

use super::prompt_fleet::{PromptFleetPlan, play};

/// A part that crashes servers.
const BAD: u64 = 1;
/// A part that sound requests share with those that crash servers.
const SHARED: u64 = 2;

fn at(millis: u64) -> Duration {
    Duration::from_millis(100_000 + millis)
}

fn crash(part: u64, server: u64, sent_ms: u64, seen_ms: u64) -> PartCrash {
    let server_id = format!("s{server}");
    PartCrash { part, server_id, seen_at: at(seen_ms), sent_at: at(sent_ms) }
}

/// Records three crashes under [`BAD`] in a chain.
fn record_chain(parts: &mut CrashingParts) {
    for number in 0..3 {
        parts.record(&crash(BAD, number, 1_000 * number, 1_000 * number + 100));
    }
}

#[test]
fn part_under_three_crashes_in_a_row_is_blamed_and_those_beside_it_are_not() {
    let mut parts = CrashingParts::default();
    for number in 0..3 {
        let (sent, seen) = (1_000 * number, 1_000 * number + 100);
        parts.record(&crash(BAD, number, sent, seen));
        parts.record(&crash(SHARED, number, sent, seen));
        parts.clear(SHARED, at(seen + 10));
    }

    let blamed = parts.evaluate(at(2_200));

    assert_eq!(blamed, [BAD]);
    assert_eq!(parts.trial_at(SHARED), None);
}

#[test]
fn servers_that_end_at_the_same_moment_blame_no_part_that_is_answered_then() {
    let mut parts = CrashingParts::default();
    for number in 0..8 {
        parts.record(&crash(SHARED, number, 900, 1_000 + number));
    }

    let at_once = parts.evaluate(at(1_100));
    parts.clear(SHARED, at(1_050));
    let later = parts.evaluate(at(9_000));

    assert_eq!((at_once, later), (vec![], vec![]));
}

// Popular parts were blamed while servers ended in quick succession and no answer was complete.
#[test]
fn part_is_not_blamed_while_answers_on_it_go_on() {
    let mut parts = CrashingParts::default();
    for number in 0..6 {
        let (sent, seen) = (1_000 * number, 1_000 * number + 500);
        parts.record(&crash(BAD, number, sent, seen));
        parts.record(&crash(SHARED, number, sent, seen));
        parts.record_going_on(SHARED, at(seen));
    }

    let blamed = parts.evaluate(at(5_600));
    let after_they_ended = parts.evaluate(at(9_000));

    assert_eq!(blamed, [BAD]);
    assert_eq!(after_they_ended, []);
    assert!(parts.has_crashes(SHARED));
}

#[test]
fn servers_that_end_at_the_same_instant_blame_only_a_part_of_all_of_them() {
    let mut parts = CrashingParts::default();
    for number in 0..3 {
        let (sent, seen) = (1_000 * number, 1_000 * number + 500);
        parts.record(&crash(SHARED, 2 * number, sent, seen));
        parts.record(&crash(3, 2 * number + 1, sent, seen + 10));
        for server in [2 * number, 2 * number + 1] {
            parts.record(&crash(BAD, server, sent, seen));
        }
    }

    let blamed = parts.evaluate(at(2_600));

    assert_eq!(blamed, [BAD]);
    assert_eq!(parts.trial_at(SHARED), None);
}

// Without the time that tells instants apart, a part of one of two servers that end together is blamed.
#[test]
fn servers_that_end_with_servers_without_the_part_do_not_blame_it() {
    let mut parts = CrashingParts::default();
    for number in 0..4 {
        let (sent, seen) = (1_000 * number, 1_000 * number + 500);
        parts.record(&crash(SHARED, 2 * number, sent, seen));
        parts.record(&crash(10 + number, 2 * number + 1, sent, seen + 30));
    }

    let blamed = parts.evaluate(at(3_600));

    assert_eq!(blamed, []);
}

// A second trial a second after the first uses up the requests that may still reach servers.
#[test]
fn blamed_part_whose_trial_crashed_is_not_tried_again_for_a_minute() {
    let mut parts = CrashingParts::default();
    record_chain(&mut parts);
    parts.evaluate(at(2_100));

    let first_trial_at = parts.trial_at(BAD);
    parts.record(&crash(BAD, 3, 3_200, 3_300));
    let second_trial_at = parts.trial_at(BAD);

    assert_eq!(first_trial_at, Some(at(3_100)));
    assert_eq!(second_trial_at, Some(at(63_300)));
}

// When an engine ended, each of its many sound parts was cleared by a datagram to every VM.
#[test]
fn clearance_of_a_part_with_one_crash_is_not_told() {
    let mut parts = CrashingParts::default();
    parts.record(&crash(SHARED, 1, 0, 100));
    let after_one = (parts.record_going_on(SHARED, at(150)), parts.clear(SHARED, at(200)));

    parts.record(&crash(SHARED, 2, 1_000, 1_100));
    let after_two = (parts.record_going_on(SHARED, at(1_150)), parts.clear(SHARED, at(1_200)));

    assert_eq!(after_one, (false, false));
    assert!(!parts.has_crashes(SHARED));
    assert_eq!(after_two, (true, true));
}

// Digests differed as long as VMs knew different crashes of sound parts, and each exchanged them all.
#[test]
fn parts_with_too_few_crashes_to_be_blamed_are_not_exchanged() {
    let mut parts = CrashingParts::default();
    (0..2).for_each(|number| {
        parts.record(&crash(SHARED, number, 1_000 * number, 1_000 * number + 100));
    });
    record_chain(&mut parts);

    let exchanged: Vec<_> = parts.sightings(10).into_iter().map(|crash| crash.part).collect();

    assert_eq!(exchanged, [BAD; 3]);
}

#[test]
fn servers_that_end_within_a_moment_are_no_chain() {
    let mut parts = CrashingParts::default();
    for number in 0..4 {
        let (sent, seen) = (100 * number + 50, 100 * number + 100);
        parts.record(&crash(SHARED, number, sent, seen));
    }

    let blamed = parts.evaluate(at(500));

    assert_eq!(blamed, []);
}

#[test]
fn parts_that_no_crash_tells_apart_are_blamed_after_five_and_freed_by_an_answer() {
    let mut parts = CrashingParts::default();
    for number in 0..5 {
        let (sent, seen) = (500 * number, 500 * number + 100);
        parts.record(&crash(BAD, number, sent, seen));
        parts.record(&crash(SHARED, number, sent, seen));
    }

    let blamed = parts.evaluate(at(2_100 + 1_500));
    let is_cleared = parts.clear(SHARED, at(5_000));

    assert_eq!(blamed, [BAD, SHARED]);
    assert!(is_cleared);
    assert_eq!(parts.trial_at(SHARED), None);
    assert!(parts.trial_at(BAD).is_some());
}

#[test]
fn answer_to_a_request_that_was_sent_before_a_crash_does_not_clear_it() {
    let mut parts = CrashingParts::default();
    parts.record(&crash(BAD, 1, 0, 100));

    let is_cleared = parts.clear(BAD, at(50));

    assert!(!is_cleared);
    assert!(parts.has_crashes(BAD));
}

#[test]
fn blamed_part_is_tried_twice_a_day() {
    let mut parts = CrashingParts::default();
    record_chain(&mut parts);
    parts.evaluate(at(2_100));
    let mut trial_count = 0;

    for second in 3..86_400 {
        if parts.trial_at(BAD).is_some_and(|trial_at| trial_at <= at(second * 1_000)) {
            trial_count += 1;
            let sent = second * 1_000;
            parts.record(&crash(BAD, 10 + trial_count, sent, sent + 100));
        }
    }

    assert_eq!(trial_count, 2);
}

#[test]
fn two_bad_parts_are_both_blamed() {
    let other = 3;
    let mut parts = CrashingParts::default();
    for number in 0..4 {
        let (sent, seen) = (1_000 * number, 1_000 * number + 100);
        parts.record(&crash(BAD, number, sent, seen));
        parts.record(&crash(other, 100 + number, sent + 300, seen + 300));
        parts.evaluate(at(seen + 310));
    }

    assert!(parts.trial_at(BAD).is_some());
    assert!(parts.trial_at(other).is_some());
}

#[test]
fn bad_part_of_random_prompts_is_found_and_sound_requests_go_on() {
    for part_count in [2, 4, 8] {
        for batch in [1, 4, 16] {
            for bad_share in [0.05, 0.3, 0.9] {
                let mut late_arrivals = 0;
                let (mut crashes, mut wrongly_blamed, mut sound_share) = (0, 0, 0.0);
                let seeds = 4;
                for seed in 0..seeds {
                    let plan = PromptFleetPlan { part_count, batch, bad_share, seed };
                    let outcome = play(&plan);
                    late_arrivals = late_arrivals.max(outcome.late_arrivals());
                    crashes += outcome.crashes_until_blamed;
                    wrongly_blamed += outcome.wrongly_blamed;
                    sound_share += outcome.late_sound_share / f64::from(seeds as u32);
                }

                println!(
                    "{part_count} parts, batches of {batch}, {bad_share} bad: blamed after {:.1} crashes, \
                     {wrongly_blamed} sound parts blamed in {seeds} runs, {late_arrivals} late arrivals at \
                     most, {sound_share:.2} of sound requests sent later",
                    crashes as f64 / seeds as f64
                );
                assert!(late_arrivals <= 3, "{part_count} {batch} {bad_share}: {late_arrivals}");
                assert!(sound_share >= 0.5, "{part_count} {batch} {bad_share}: {sound_share}");
            }
        }
    }
}
