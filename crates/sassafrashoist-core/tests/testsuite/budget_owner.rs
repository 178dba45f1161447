use std::time::Duration;

use sassafrashoist_core::invariants::Invariants;
use sassafrashoist_core::owner::admit::{AdmitDecision, AdmitRequest};
use sassafrashoist_core::owner::budget_owner::BudgetOwner;
use sassafrashoist_core::owner::settle::{SettleDecision, SettleOutcome, SettleRequest};
use sassafrashoist_core::requests::key_entry::{AttemptRunner, KeyBinding, KeyState};
use sassafrashoist_core::requests::key_table::KeyTableLimits;
use sassafrashoist_core::result_code::ResultCode;

const NOW: Duration = Duration::from_secs(1_000);

fn owner_with(tokens: u64) -> BudgetOwner {
    let mut owner = BudgetOwner::new(KeyTableLimits::default());
    owner.credit_draws("b", tokens);
    owner
}

fn admit(key: &str, tokens: u64) -> AdmitRequest {
    AdmitRequest {
        key: key.to_owned(),
        binding: KeyBinding { account_id: "a".into(), route_id: "r".into(), body_hash: 1 },
        budget_id: "b".to_owned(),
        worst_case_tokens: tokens,
        is_idempotent: false,
        runner: AttemptRunner { vm_id: "v".into(), incarnation: 1, server_id: "s".into() },
    }
}

fn ran(key: &str, used_tokens: u64) -> SettleRequest {
    SettleRequest {
        key: key.to_owned(),
        attempt: 1,
        outcome: SettleOutcome::Ran { used_tokens, response: None },
        code: ResultCode::Done,
    }
}

#[test]
fn owner_refuses_what_it_does_not_hold() {
    let mut owner = owner_with(10);

    let decision = owner.admit(admit("k", 11), NOW);

    assert!(matches!(decision, AdmitDecision::Refused { code: ResultCode::BudgetShortHere, .. }));
}

#[test]
fn owner_frees_what_a_request_did_not_use() {
    let mut owner = owner_with(10);
    owner.admit(admit("k", 10), NOW);

    let decision = owner.settle(ran("k", 4), NOW, &Invariants::default());

    assert_eq!(decision, SettleDecision::Settled { billed_tokens: 4 });
    assert_eq!(owner.account("b").held_tokens, 6);
    assert_eq!(owner.account("b").settled_tokens, 4);
}

#[test]
fn owner_settles_a_request_once() {
    let mut owner = owner_with(10);
    owner.admit(admit("k", 10), NOW);
    owner.settle(ran("k", 4), NOW, &Invariants::default());

    let decision = owner.settle(ran("k", 4), NOW, &Invariants::default());

    assert_eq!(decision, SettleDecision::AlreadySettled);
    assert_eq!(owner.account("b").settled_tokens, 4);
}

#[test]
fn owner_refuses_a_key_with_another_body() {
    let mut owner = owner_with(10);
    owner.admit(admit("k", 1), NOW);
    let mut other = admit("k", 1);
    other.binding.body_hash = 2;

    let decision = owner.admit(other, NOW);

    assert!(matches!(decision, AdmitDecision::Refused { code: ResultCode::KeyBodyMismatch, .. }));
}

#[test]
fn owner_tells_a_second_attempt_that_the_first_runs() {
    let mut owner = owner_with(10);
    owner.admit(admit("k", 1), NOW);

    let decision = owner.admit(admit("k", 1), NOW);

    assert!(matches!(decision, AdmitDecision::Known(KeyState::Running { attempt: 1, .. })));
}

#[test]
#[should_panic(expected = "overspend_tokens")]
fn owner_asserts_that_no_request_uses_more_than_it_reserved() {
    let mut owner = owner_with(10);
    owner.admit(admit("k", 5), NOW);

    owner.settle(ran("k", 6), NOW, &Invariants::default());
}
