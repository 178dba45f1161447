use std::time::Duration;

use sassafrashoist_core::gateway::ask_ahead::AskAhead;

const USUAL_TOKENS: f64 = 8_000.0;
/// A hundred usual requests a second.
const BUSY_TOKENS_PER_S: f64 = 800_000.0;

fn ask_ahead_with_answers_of(took: Duration) -> AskAhead {
    let mut ask_ahead = AskAhead::default();
    (0..30).for_each(|_| ask_ahead.record_answer(took));
    ask_ahead
}

#[test]
fn a_busy_vm_with_slow_answers_asks_for_what_it_uses_meanwhile() {
    let ask_ahead = ask_ahead_with_answers_of(Duration::from_millis(110));

    let ahead = ask_ahead.tokens(BUSY_TOKENS_PER_S, USUAL_TOKENS);

    let used_during_one_answer = (0.11 * BUSY_TOKENS_PER_S) as u64;
    assert!(ahead > 3 * used_during_one_answer, "{ahead}");
    assert!(ask_ahead.runs_low(2 * used_during_one_answer as i64, BUSY_TOKENS_PER_S, USUAL_TOKENS));
    assert!(!ask_ahead.runs_low(ahead as i64, BUSY_TOKENS_PER_S, USUAL_TOKENS));
}

#[test]
fn a_vm_that_is_used_seldom_asks_for_nothing_in_advance() {
    let ask_ahead = ask_ahead_with_answers_of(Duration::from_millis(4));

    assert_eq!(ask_ahead.tokens(USUAL_TOKENS, USUAL_TOKENS), 0);
    assert!(!ask_ahead.runs_low(0, USUAL_TOKENS, USUAL_TOKENS));
}

#[test]
fn the_time_in_advance_is_bounded() {
    let ask_ahead = ask_ahead_with_answers_of(Duration::from_secs(20));

    assert_eq!(ask_ahead.tokens(BUSY_TOKENS_PER_S, USUAL_TOKENS), BUSY_TOKENS_PER_S as u64);
}
