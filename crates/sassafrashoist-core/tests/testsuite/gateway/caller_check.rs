use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::gateway::caller_check::{
    CHECK_INTERVAL, CallerCheck, CheckStep, ResponseProgress, is_asked_before_sending,
};

/// The steps of the first checks.
fn steps(check: &mut CallerCheck, progress: ResponseProgress, count: usize) -> Vec<CheckStep> {
    (0..count).map(|_| check.next_step(progress)).collect()
}

fn sent_count(steps: &[CheckStep]) -> usize {
    steps.iter().filter(|step| **step != CheckStep::Look).count()
}

// Without bytes of this VM a caller that left looks like one that still reads.
#[test]
fn caller_that_left_is_noticed_within_three_checks() {
    for (progress, step) in [
        (ResponseProgress::NotStarted, CheckStep::SendInterim),
        (ResponseProgress::BetweenChunks, CheckStep::SendLeadingZero),
    ] {
        let mut check = CallerCheck::default();

        let first = steps(&mut check, progress, 3);

        assert_eq!(first, [CheckStep::Look, step, step]);
    }
}

// Some clients take an interim response for the answer.
#[test]
fn prompt_answer_comes_without_interim_responses() {
    let mut check = CallerCheck::default();

    let step = check.next_step(ResponseProgress::NotStarted);

    assert_eq!(step, CheckStep::Look);
}

// An interim response within a response would become a part of it.
#[test]
fn nothing_is_sent_within_a_response() {
    let mut check = CallerCheck::default();

    let steps = steps(&mut check, ResponseProgress::NothingAllowed, 1_000);

    assert_eq!(sent_count(&steps), 0);
}

proptest! {
    // Some clients give up after a few interim responses.
    #[test]
    fn few_interim_responses_are_sent(checks in 1_usize..100_000) {
        let mut check = CallerCheck::default();

        let steps = steps(&mut check, ResponseProgress::NotStarted, checks);

        let bound = (checks as f64).log2() as usize + 2;
        prop_assert!(sent_count(&steps) <= bound, "{} of {checks}", sent_count(&steps));
    }
}

// Requests of a crowded VM were sent up to a second after their callers had left.
#[test]
fn caller_is_asked_before_sending_once_its_request_has_waited() {
    assert!(!is_asked_before_sending(Duration::from_millis(10)));
    assert!(is_asked_before_sending(CHECK_INTERVAL));
}
