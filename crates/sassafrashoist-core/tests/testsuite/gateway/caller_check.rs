use proptest::prelude::*;
use sassafrashoist_core::gateway::caller_check::{CallerCheck, CheckStep, ResponseProgress};

/// The steps of the first checks.
fn steps(check: &mut CallerCheck, progress: ResponseProgress, count: usize) -> Vec<CheckStep> {
    (0..count).map(|_| check.next_step(progress)).collect()
}

fn interim_count(steps: &[CheckStep]) -> usize {
    steps.iter().filter(|step| **step == CheckStep::SendInterim).count()
}

// Without an interim response a caller that left looks like one that still reads.
#[test]
fn caller_that_left_is_noticed_at_the_second_check() {
    let mut check = CallerCheck::default();

    let first = steps(&mut check, ResponseProgress::NotStarted, 2);

    assert_eq!(first, [CheckStep::SendInterim, CheckStep::SendInterim]);
}

// An interim response within a response would become a part of it.
#[test]
fn nothing_is_sent_within_a_response() {
    let mut check = CallerCheck::default();

    let steps = steps(&mut check, ResponseProgress::NoInterimAllowed, 1_000);

    assert_eq!(interim_count(&steps), 0);
}

proptest! {
    // Some clients give up after a few interim responses.
    #[test]
    fn few_interim_responses_are_sent(checks in 1_usize..100_000) {
        let mut check = CallerCheck::default();

        let steps = steps(&mut check, ResponseProgress::NotStarted, checks);

        let bound = (checks as f64).log2() as usize + 2;
        prop_assert!(interim_count(&steps) <= bound, "{} of {checks}", interim_count(&steps));
    }
}
