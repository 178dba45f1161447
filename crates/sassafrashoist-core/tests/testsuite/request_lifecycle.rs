//! Model of two routers, one owner and one backend server. Messages are delayed, repeated or lost,
//! and routers crash between any two steps.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::ids::AttemptNumber;
use sassafrashoist_core::invariants::{Invariant, Invariants};
use sassafrashoist_core::owner::admit::{AdmitDecision, AdmitRequest};
use sassafrashoist_core::owner::budget_owner::BudgetOwner;
use sassafrashoist_core::owner::settle::{
    RedirectRequest, SettleDecision, SettleOutcome, SettleRequest,
};
use sassafrashoist_core::requests::key_entry::{
    AttemptRunner, EarlierAttempts, KeyBinding, KeyState,
};
use sassafrashoist_core::requests::key_table::KeyTableLimits;
use sassafrashoist_core::requests::life_cycle::{Dispatched, Request, Undispatched};
use sassafrashoist_core::requests::recovery::{
    AttemptFailure, Recovery, RetryRules, StreamLookup, decide_recovery, retry_cause,
};
use sassafrashoist_core::result_code::{Outcome, ResultCode};

const KEY: &str = "a/k";
const DRAWN_TOKENS: u64 = 1_000;
const WORST_CASE_TOKENS: u64 = 100;
const USED_TOKENS: u64 = 60;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A caller sends the request to a router, which starts it or takes it over.
    Receive(usize),
    /// A router sends its attempt; the server starts it or not.
    Send { router: usize, is_started: bool },
    /// The server's response reaches the router.
    Respond(usize),
    /// The server's refusal to start reaches the router, or its response is lost.
    Fail { router: usize, failure: Failure, may_retry: bool },
    /// A router loses its state.
    Crash(usize),
    /// A settlement in the network reaches the owner, and stays in the network to arrive again.
    Deliver(usize),
    /// A settlement in the network is lost.
    Lose(usize),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Failure {
    NotStarted,
    ResponseLost,
}

#[derive(Debug, Default)]
enum RouterState {
    #[default]
    Idle,
    Ready(Undispatched),
    Sent(Request<Dispatched>, bool),
}

struct World {
    rules: RetryRules,
    owner: BudgetOwner,
    invariants: Invariants,
    routers: [RouterState; 2],
    settlements: Vec<SettleRequest>,
    unconfirmed_refusals: Vec<AttemptNumber>,
    started_count: u32,
    outcomes: Vec<Outcome>,
    now: Duration,
}

impl World {
    fn new(is_idempotent: bool) -> Self {
        let mut owner = BudgetOwner::new(KeyTableLimits::default());
        owner.credit_draws("b", DRAWN_TOKENS);
        Self {
            rules: RetryRules { is_idempotent, service_deduplicates: false },
            owner,
            invariants: Invariants::default(),
            routers: Default::default(),
            settlements: Vec::new(),
            unconfirmed_refusals: Vec::new(),
            started_count: 0,
            outcomes: Vec::new(),
            now: Duration::from_secs(1_000),
        }
    }

    fn apply(&mut self, step: Step) {
        self.now += Duration::from_millis(1);
        match step {
            Step::Receive(router) => self.receive(router),
            Step::Send { router, is_started } => self.send(router, is_started),
            Step::Respond(router) => self.respond(router),
            Step::Fail { router, failure, may_retry } => self.fail(router, failure, may_retry),
            Step::Crash(router) => self.routers[router] = RouterState::Idle,
            Step::Deliver(index) => self.deliver(index),
            Step::Lose(index) => {
                if !self.settlements.is_empty() {
                    self.settlements.remove(index % self.settlements.len());
                }
            }
        }
    }

    fn receive(&mut self, router: usize) {
        if !matches!(self.routers[router], RouterState::Idle) {
            return;
        }
        let admit = AdmitRequest {
            key: KEY.to_owned(),
            binding: KeyBinding { account_id: "a".into(), route_id: "r".into(), body_hash: 1 },
            budget_id: "b".to_owned(),
            worst_case_tokens: WORST_CASE_TOKENS,
            is_idempotent: self.rules.is_idempotent,
            runner: runner(router),
        };
        let request = Request::new(KEY.to_owned());
        match self.owner.admit(admit, self.now) {
            AdmitDecision::Admitted { attempt } => {
                let admitted = request.admit(WORST_CASE_TOKENS, attempt);
                self.routers[router] = RouterState::Ready(Undispatched::Admitted(admitted));
            }
            AdmitDecision::Known(KeyState::Running { .. }) => self.take_over(router),
            AdmitDecision::Known(KeyState::Unknown) if self.rules.may_rerun() => {
                self.take_over(router);
            }
            AdmitDecision::Known(KeyState::Unknown) => self.outcomes.push(Outcome::Unknown),
            AdmitDecision::Known(KeyState::Done { .. }) => self.outcomes.push(Outcome::Ran),
            AdmitDecision::Refused { .. } => {}
        }
    }

    /// Takes the request over without proof that the other router has stopped.
    fn take_over(&mut self, router: usize) {
        let entry = self.owner.entry(KEY).unwrap().clone();
        let earlier = EarlierAttempts { may_have_run: true, ..entry.earlier };
        let redirect = RedirectRequest {
            key: KEY.to_owned(),
            from_attempt: entry.last_attempt,
            earlier,
            runner: runner(router),
        };
        let Some(attempt) = self.owner.redirect(redirect, self.now) else {
            return;
        };
        let request = Request::new(KEY.to_owned());
        let taken_over =
            request.take_over(entry.reserved_tokens, entry.earlier.spent_tokens, attempt);
        match decide_recovery(StreamLookup::Unavailable, self.rules) {
            Recovery::Retry => {
                self.routers[router] = RouterState::Ready(Undispatched::InDoubt(taken_over));
            }
            Recovery::Resume | Recovery::Unknown => {
                self.send_settlement(attempt, SettleOutcome::Unknown);
                self.outcomes.push(Outcome::Unknown);
            }
        }
    }

    fn send(&mut self, router: usize, is_started: bool) {
        let state = std::mem::take(&mut self.routers[router]);
        self.routers[router] = match state {
            RouterState::Ready(request) => {
                self.started_count += u32::from(is_started);
                RouterState::Sent(request.dispatch("s".to_owned()), is_started)
            }
            other => other,
        };
    }

    fn respond(&mut self, router: usize) {
        let state = std::mem::take(&mut self.routers[router]);
        let RouterState::Sent(request, true) = state else {
            self.routers[router] = state;
            return;
        };
        let attempt = request.attempt();
        let used_tokens = request.settle(USED_TOKENS).billed_tokens();
        self.send_settlement(attempt, SettleOutcome::Ran { used_tokens, response: None });
        self.outcomes.push(Outcome::Ran);
    }

    fn fail(&mut self, router: usize, failure: Failure, may_retry: bool) {
        let state = std::mem::take(&mut self.routers[router]);
        let RouterState::Sent(request, is_started) = state else {
            self.routers[router] = state;
            return;
        };
        let (undispatched, failure) = if failure == Failure::NotStarted && !is_started {
            (request.undo_dispatch(), AttemptFailure::NotReached)
        } else {
            (Undispatched::InDoubt(request.record_lost_response(0)), AttemptFailure::ResponseLost)
        };
        let attempt = undispatched.attempt();
        if may_retry && retry_cause(failure, self.rules, attempt).is_some() {
            let redirect = RedirectRequest {
                key: KEY.to_owned(),
                from_attempt: attempt,
                earlier: undispatched.earlier(),
                runner: runner(router),
            };
            if let Some(next) = self.owner.redirect(redirect, self.now) {
                self.routers[router] = RouterState::Ready(undispatched.with_attempt(next));
                return;
            }
        }
        match undispatched {
            Undispatched::Admitted(_) => {
                self.send_settlement(attempt, SettleOutcome::NotRun);
                self.unconfirmed_refusals.push(attempt);
            }
            Undispatched::InDoubt(_) => {
                self.send_settlement(attempt, SettleOutcome::Unknown);
                self.outcomes.push(Outcome::Unknown);
            }
        }
    }

    fn send_settlement(&mut self, attempt: AttemptNumber, outcome: SettleOutcome) {
        let code = ResultCode::Done;
        self.settlements.push(SettleRequest { key: KEY.to_owned(), attempt, outcome, code });
    }

    fn deliver(&mut self, index: usize) {
        if self.settlements.is_empty() {
            return;
        }
        let settlement = self.settlements[index % self.settlements.len()].clone();
        let attempt = settlement.attempt;
        let is_release = settlement.outcome == SettleOutcome::NotRun;
        let decision = self.owner.settle(settlement, self.now, &self.invariants);
        let is_unconfirmed = self.unconfirmed_refusals.contains(&attempt);
        if is_release && is_unconfirmed && matches!(decision, SettleDecision::Settled { .. }) {
            self.unconfirmed_refusals.retain(|refused| *refused != attempt);
            self.outcomes.push(Outcome::NotRun);
            assert_eq!(self.started_count, 0, "a request that ran was reported as not run");
        }
    }

    fn check(&self) {
        let account = self.owner.account("b");
        let total = account.held_tokens + account.reserved_tokens + account.settled_tokens;
        assert_eq!(total, DRAWN_TOKENS);
        assert!(account.settled_tokens <= WORST_CASE_TOKENS, "billed twice");
        if !self.rules.is_idempotent {
            assert!(self.started_count <= 1, "ran {} times", self.started_count);
        }
        if self.started_count > 0 {
            let entry = self.owner.entry(KEY).expect("a request that ran has no entry");
            assert!(entry.is_closed() || entry.reserved_tokens > 0, "unbilled");
        }
        for invariant in Invariant::ALL {
            assert_eq!(self.invariants.count(invariant), 0, "{}", invariant.name());
        }
    }
}

fn runner(router: usize) -> AttemptRunner {
    AttemptRunner { vm_id: format!("v{router}"), incarnation: 1, server_id: "s".into() }
}

fn any_failure() -> impl Strategy<Value = Failure> {
    prop_oneof![Just(Failure::NotStarted), Just(Failure::ResponseLost)]
}

fn any_step() -> impl Strategy<Value = Step> {
    let router = 0usize..2;
    prop_oneof![
        3 => router.clone().prop_map(Step::Receive),
        3 => (router.clone(), any::<bool>())
            .prop_map(|(router, is_started)| Step::Send { router, is_started }),
        2 => router.clone().prop_map(Step::Respond),
        2 => (router.clone(), any_failure(), any::<bool>())
            .prop_map(|(router, failure, may_retry)| Step::Fail { router, failure, may_retry }),
        1 => router.prop_map(Step::Crash),
        3 => (0usize..8).prop_map(Step::Deliver),
        1 => (0usize..8).prop_map(Step::Lose),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_500))]

    #[test]
    fn request_of_two_routers_keeps_its_invariants_over_crashes_and_late_messages(
        is_idempotent: bool,
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let mut world = World::new(is_idempotent);

        for step in steps {
            world.apply(step);

            world.check();
        }
    }
}

/// Runs a request whose router crashes after `crash_after` steps, and a retry by the other router.
fn run_with_crash(is_idempotent: bool, crash_after: usize) -> World {
    let first_run =
        [Step::Receive(0), Step::Send { router: 0, is_started: true }, Step::Respond(0)];
    let retry = [
        Step::Crash(0),
        Step::Receive(1),
        Step::Send { router: 1, is_started: true },
        Step::Respond(1),
        Step::Deliver(0),
        Step::Deliver(0),
        Step::Deliver(1),
        Step::Receive(1),
    ];
    let mut world = World::new(is_idempotent);
    for step in first_run.into_iter().take(crash_after).chain(retry) {
        world.apply(step);
        world.check();
    }
    world
}

#[test]
fn request_that_is_not_idempotent_starts_at_most_once_whenever_its_router_crashes() {
    let counts: BTreeMap<usize, u32> = (0..=3)
        .map(|crash_after| (crash_after, run_with_crash(false, crash_after).started_count))
        .collect();

    assert_eq!(counts, BTreeMap::from([(0, 1), (1, 0), (2, 1), (3, 1)]));
}

#[test]
fn idempotent_request_is_billed_once_whenever_its_router_crashes() {
    let worlds = (0..=3).map(|crash_after| run_with_crash(true, crash_after));

    let billed: Vec<u64> = worlds.map(|world| world.owner.account("b").settled_tokens).collect();

    assert_eq!(billed, vec![USED_TOKENS; 4]);
}
