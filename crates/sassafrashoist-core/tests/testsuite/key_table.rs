use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::invariants::Invariants;
use sassafrashoist_core::owner::admit::{AdmitDecision, AdmitRequest};
use sassafrashoist_core::owner::budget_owner::BudgetOwner;
use sassafrashoist_core::owner::settle::{SettleDecision, SettleOutcome, SettleRequest};
use sassafrashoist_core::requests::key_entry::{
    AttemptRunner, KeyBinding, KeyState, StoredResponse,
};
use sassafrashoist_core::requests::key_table::KeyTableLimits;
use sassafrashoist_core::result_code::ResultCode;

const RETRY_WINDOW: Duration = Duration::from_secs(60);
const MAX_ENTRIES: usize = 8;
const MAX_RESPONSE_BYTES: usize = 100;

fn small_owner() -> BudgetOwner {
    let mut owner = BudgetOwner::new(KeyTableLimits {
        retry_window: RETRY_WINDOW,
        max_entries: MAX_ENTRIES,
        max_response_bytes: MAX_RESPONSE_BYTES,
    });
    owner.credit_draws("b", 1_000_000);
    owner
}

fn admit(key: &str, is_idempotent: bool) -> AdmitRequest {
    AdmitRequest {
        key: key.to_owned(),
        binding: KeyBinding { account_id: "a".into(), route_id: "r".into(), body_hash: 1 },
        budget_id: "b".to_owned(),
        worst_case_tokens: 10,
        is_idempotent,
        runner: AttemptRunner { vm_id: "v".into(), incarnation: 1, server_id: "s".into() },
    }
}

fn settle(key: &str, outcome: SettleOutcome) -> SettleRequest {
    SettleRequest { key: key.to_owned(), attempt: 1, outcome, code: ResultCode::Done }
}

fn ran(response_bytes: usize) -> SettleOutcome {
    let response = StoredResponse {
        http_status: 200,
        content_type: "text/plain".into(),
        body: vec![b'x'; response_bytes],
    };
    SettleOutcome::Ran { used_tokens: 5, response: Some(response) }
}

#[derive(Debug, Clone)]
enum Step {
    Admit(u8),
    Settle(u8, usize),
    MarkUnknown(u8),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..20).prop_map(Step::Admit),
        4 => (0u8..20, 1usize..60).prop_map(|(key, bytes)| Step::Settle(key, bytes)),
        1 => (0u8..20).prop_map(Step::MarkUnknown),
        2 => (1u64..40).prop_map(Step::Wait),
    ]
}

fn key(number: u8) -> String {
    format!("a/{number}")
}

proptest! {
    #[test]
    fn key_table_under_pressure_never_forgets_early_and_stays_bounded(
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        let mut owner = small_owner();
        let mut now = Duration::from_secs(1_000);
        let mut closed_at_by_key: BTreeMap<String, Option<Duration>> = BTreeMap::new();

        for step in steps {
            match step {
                Step::Admit(number) => {
                    let key = key(number);
                    let is_remembered = closed_at_by_key.get(&key).is_some_and(|closed_at| {
                        closed_at.is_none_or(|at| now < at + RETRY_WINDOW)
                    });
                    match owner.admit(admit(&key, false), now) {
                        AdmitDecision::Admitted { .. } => {
                            prop_assert!(!is_remembered, "second run of {key}");
                            closed_at_by_key.insert(key, None);
                        }
                        AdmitDecision::Known(_) => prop_assert!(is_remembered),
                        AdmitDecision::Refused { code, .. } => {
                            prop_assert_eq!(code, ResultCode::KeyTableFull);
                            prop_assert!(!is_remembered);
                        }
                    }
                }
                Step::Settle(number, bytes) => {
                    let key = key(number);
                    let decision =
                        owner.settle(settle(&key, ran(bytes)), now, &Invariants::default());
                    if matches!(decision, SettleDecision::Settled { .. }) {
                        closed_at_by_key.insert(key, Some(now));
                    }
                }
                Step::MarkUnknown(number) => {
                    let unknown = settle(&key(number), SettleOutcome::Unknown);
                    owner.settle(unknown, now, &Invariants::default());
                }
                Step::Wait(seconds) => now += Duration::from_secs(seconds),
            }

            prop_assert!(owner.keys().len() <= MAX_ENTRIES);
            prop_assert!(owner.keys().response_bytes() <= MAX_RESPONSE_BYTES);
            for key in closed_at_by_key
                .iter()
                .filter(|(_, closed_at)| closed_at.is_none())
                .map(|(key, _)| key)
            {
                prop_assert!(owner.entry(key).is_some(), "open key {key} was dropped");
            }
        }
    }
}

#[test]
fn key_table_keeps_the_outcome_after_the_response_is_dropped() {
    let mut owner = small_owner();
    let now = Duration::from_secs(1_000);
    for key in ["a/1", "a/2"] {
        owner.admit(admit(key, false), now);
        owner.settle(settle(key, ran(60)), now, &Invariants::default());
    }

    let first = owner.admit(admit("a/1", false), now);
    let second = owner.admit(admit("a/2", false), now);

    assert!(matches!(first, AdmitDecision::Known(KeyState::Done { response: None, .. })));
    assert!(matches!(second, AdmitDecision::Known(KeyState::Done { response: Some(_), .. })));
}

#[test]
fn key_table_keeps_a_key_for_the_window_of_its_route() {
    let mut owner = small_owner();
    let now = Duration::from_secs(1_000);
    owner.set_retry_windows(BTreeMap::from([("r".to_owned(), RETRY_WINDOW * 2)]));
    owner.admit(admit("a/1", false), now);
    owner.settle(settle("a/1", ran(1)), now, &Invariants::default());

    let within = owner.admit(admit("a/1", false), now + RETRY_WINDOW * 2 - Duration::from_secs(1));
    let after = owner.admit(admit("a/1", false), now + RETRY_WINDOW * 2);

    assert!(matches!(within, AdmitDecision::Known(_)));
    assert!(matches!(after, AdmitDecision::Admitted { .. }));
}

#[test]
fn key_table_forgets_a_request_without_a_callers_key_soon() {
    let mut owner = small_owner();
    let now = Duration::from_secs(1_000);
    owner.admit(admit("auto/v-1-1", true), now);
    owner.settle(settle("auto/v-1-1", ran(1)), now, &Invariants::default());

    owner.admit(admit("a/2", true), now + Duration::from_secs(11));

    assert!(owner.entry("auto/v-1-1").is_none());
}

#[test]
fn late_outcome_closes_an_unknown_request_once() {
    let mut owner = small_owner();
    let now = Duration::from_secs(1_000);
    owner.admit(admit("a/1", false), now);
    owner.settle(settle("a/1", SettleOutcome::Unknown), now, &Invariants::default());

    let late = owner.settle(settle("a/1", ran(1)), now, &Invariants::default());
    let repeated = owner.settle(settle("a/1", ran(1)), now, &Invariants::default());

    assert_eq!(late, SettleDecision::Settled { billed_tokens: 5 });
    assert_eq!(repeated, SettleDecision::AlreadySettled);
    assert_eq!(owner.account("b").reserved_tokens, 0);
    assert_eq!(owner.account("b").settled_tokens, 5);
}

#[test]
fn key_table_that_lost_its_entries_runs_no_request_that_may_not_run_twice() {
    let mut owner = small_owner();
    let now = Duration::from_secs(1_000);
    owner.mark_entries_lost();
    let is_lost_before_any_lookup = owner.keys().lost_until().is_some_and(|until| now < until);

    let not_idempotent = owner.admit(admit("a/1", false), now);
    let idempotent = owner.admit(admit("a/2", true), now);
    let after = owner.admit(admit("a/1", false), now + RETRY_WINDOW);

    let refused = AdmitDecision::Refused {
        code: ResultCode::OwnerOutOfReach,
        retry_after: Some(RETRY_WINDOW),
    };
    assert!(is_lost_before_any_lookup);
    assert_eq!(owner.keys().lost_until(), Some(now + RETRY_WINDOW));
    assert_eq!(not_idempotent, refused);
    assert!(matches!(idempotent, AdmitDecision::Admitted { .. }));
    assert!(matches!(after, AdmitDecision::Admitted { .. }));
}
