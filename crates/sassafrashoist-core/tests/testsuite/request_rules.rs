use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::requests::backoff::{hop_timeout, retry_delay};
use sassafrashoist_core::requests::recovery::{
    AttemptFailure, MAX_ATTEMPTS, RetryRules, RunnerHealth, UNRESPONSIVE_RUNNER_TIMEOUT,
    retry_cause,
};
use sassafrashoist_core::requests::retry_budget::{RetryBudgets, RetryCause};

const AT_MOST_ONCE: RetryRules = RetryRules { is_idempotent: false, service_deduplicates: false };

fn retries_under_overload(first_attempts: u32, budgets: &mut RetryBudgets) -> u32 {
    let mut retries = 0;
    for _ in 0..first_attempts {
        budgets.record_first_attempt("a", "r");
        while budgets.try_retry("a", "r", RetryCause::Busy) {
            retries += 1;
        }
    }
    retries
}

proptest! {
    #[test]
    fn retry_budget_allows_a_tenth_of_first_attempts_under_overload(first_attempts in 0u32..2_000) {
        let retries = retries_under_overload(first_attempts, &mut RetryBudgets::default());

        prop_assert!(retries * 10 <= first_attempts);
    }

    #[test]
    fn retry_budget_holds_under_overload_after_an_idle_time(
        earlier_attempts in 0u32..2_000, first_attempts in 500u32..2_000,
    ) {
        let mut budgets = RetryBudgets::default();
        for _ in 0..earlier_attempts {
            budgets.record_first_attempt("a", "r");
        }

        let retries = retries_under_overload(first_attempts, &mut budgets);

        prop_assert!(retries * 10 <= first_attempts);
    }

    #[test]
    fn retry_delay_repeats_for_a_seed_and_stays_in_its_bound(
        seed: u64, key in "[a-z]{1,8}", attempt in 1u32..40,
    ) {
        let delay = retry_delay(seed, &key, attempt);

        prop_assert_eq!(delay, retry_delay(seed, &key, attempt));
        prop_assert!(delay <= Duration::from_millis(500));
        prop_assert!(attempt > 1 || delay <= Duration::from_millis(20));
    }

    #[test]
    fn hop_timeout_shrinks_at_each_hop(left_ms in 0u64..100_000) {
        let left = Duration::from_millis(left_ms);

        let next = hop_timeout(left);

        prop_assert!(next.is_none_or(|next| next < left && !next.is_zero()));
        prop_assert_eq!(next.is_some(), left_ms > 20);
    }

    #[test]
    fn lost_response_is_never_retried_where_a_second_run_could_harm(attempt in 1u32..10) {
        let cause = retry_cause(AttemptFailure::ResponseLost, AT_MOST_ONCE, attempt);

        prop_assert_eq!(cause, None);
    }
}

#[test]
fn retry_budget_lets_an_idle_account_past_a_failed_server() {
    let mut budgets = RetryBudgets::default();
    budgets.record_first_attempt("a", "r");

    let after_failure = budgets.try_retry("a", "r", RetryCause::Failure);
    let after_busy = budgets.try_retry("a", "r", RetryCause::Busy);

    assert!(after_failure);
    assert!(!after_busy);
}

#[test]
fn retry_budget_ends_when_failures_go_on() {
    let mut budgets = RetryBudgets::default();

    let retries = (0..1_000).filter(|_| budgets.try_retry("a", "r", RetryCause::Failure)).count();

    assert_eq!(retries, 10);
}

#[test]
fn request_has_a_bounded_number_of_attempts() {
    let cause = retry_cause(AttemptFailure::NotReached, AT_MOST_ONCE, MAX_ATTEMPTS);

    assert_eq!(cause, None);
}

#[test]
fn request_of_an_unresponsive_runner_is_taken_over_after_the_timeout() {
    let before_timeout = RunnerHealth::Unresponsive(UNRESPONSIVE_RUNNER_TIMEOUT / 2);
    let after_timeout = RunnerHealth::Unresponsive(UNRESPONSIVE_RUNNER_TIMEOUT);

    assert!(!RunnerHealth::Alive.allows_takeover());
    assert!(!before_timeout.allows_takeover());
    assert!(after_timeout.allows_takeover());
    assert!(RunnerHealth::Gone.allows_takeover());
}
