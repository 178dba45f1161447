//! Two routers, one owner and one backend server, with messages that are delayed, repeated or lost
//! and routers that crash between any two steps.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use sassafrashoist_core::ids::AttemptNumber;
use sassafrashoist_core::invariants::{Invariants, Promise};
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
    AttemptFailure, Recovery, RepeatRules, ServerKnowledge, decide_recovery, repeat_cause,
};
use sassafrashoist_core::result_code::{Outcome, ResultCode};

const KEY: &str = "a/k";
const GRANTED_TOKENS: u64 = 1_000;
const WORST_CASE_TOKENS: u64 = 100;
const RUN_TOKENS: u64 = 60;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A caller sends the request to a router, which starts or takes over.
    Ask(usize),
    /// A router sends its attempt; the server begins it or not.
    Send { router: usize, is_begun: bool },
    /// The server's answer reaches the router.
    Answer(usize),
    /// The server's answer, or its refusal to begin, is lost or returned.
    Fail { router: usize, failure: Failure, may_retry: bool },
    /// A router loses its memory.
    Crash(usize),
    /// A settlement in the network reaches the owner; it stays there to arrive again.
    Deliver(usize),
    /// A settlement in the network is lost.
    Lose(usize),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Failure {
    NotBegun,
    AnswerLost,
}

#[derive(Debug, Default)]
enum RouterState {
    #[default]
    Idle,
    Ready(Undispatched),
    Sent(Request<Dispatched>, bool),
}

struct World {
    rules: RepeatRules,
    owner: BudgetOwner,
    invariants: Invariants,
    routers: [RouterState; 2],
    messages: Vec<SettleRequest>,
    waiting_refusals: Vec<AttemptNumber>,
    begun_count: u32,
    told: Vec<Outcome>,
    now: Duration,
}

impl World {
    fn new(is_idempotent: bool) -> Self {
        let mut owner = BudgetOwner::new(KeyTableLimits::default());
        owner.credit_draws("b", GRANTED_TOKENS);
        Self {
            rules: RepeatRules { is_idempotent, service_deduplicates: false },
            owner,
            invariants: Invariants::default(),
            routers: Default::default(),
            messages: Vec::new(),
            waiting_refusals: Vec::new(),
            begun_count: 0,
            told: Vec::new(),
            now: Duration::from_secs(1_000),
        }
    }

    fn apply(&mut self, step: Step) {
        self.now += Duration::from_millis(1);
        match step {
            Step::Ask(router) => self.ask(router),
            Step::Send { router, is_begun } => self.send(router, is_begun),
            Step::Answer(router) => self.answer(router),
            Step::Fail { router, failure, may_retry } => self.fail(router, failure, may_retry),
            Step::Crash(router) => self.routers[router] = RouterState::Idle,
            Step::Deliver(index) => self.deliver(index),
            Step::Lose(index) => {
                if !self.messages.is_empty() {
                    self.messages.remove(index % self.messages.len());
                }
            }
        }
    }

    fn ask(&mut self, router: usize) {
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
            AdmitDecision::Known(KeyState::Unknown) if self.rules.may_repeat() => {
                self.take_over(router);
            }
            AdmitDecision::Known(KeyState::Unknown) => self.told.push(Outcome::Unknown),
            AdmitDecision::Known(KeyState::Done { .. }) => self.told.push(Outcome::Ran),
            AdmitDecision::Refused { .. } => {}
        }
    }

    /// Takes over without any proof that the other router is gone.
    fn take_over(&mut self, router: usize) {
        let entry = self.owner.lookup(KEY).unwrap().clone();
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
        let taken = request.take_over(entry.reserved_tokens, entry.earlier.spent_tokens, attempt);
        match decide_recovery(ServerKnowledge::Nothing, self.rules) {
            Recovery::Repeat => {
                self.routers[router] = RouterState::Ready(Undispatched::InDoubt(taken));
            }
            Recovery::Resume | Recovery::Unknown => {
                self.post(attempt, SettleOutcome::Unknown);
                self.told.push(Outcome::Unknown);
            }
        }
    }

    fn send(&mut self, router: usize, is_begun: bool) {
        let state = std::mem::take(&mut self.routers[router]);
        self.routers[router] = match state {
            RouterState::Ready(request) => {
                self.begun_count += u32::from(is_begun);
                RouterState::Sent(request.dispatch("s".to_owned()), is_begun)
            }
            other => other,
        };
    }

    fn answer(&mut self, router: usize) {
        let state = std::mem::take(&mut self.routers[router]);
        let RouterState::Sent(request, true) = state else {
            self.routers[router] = state;
            return;
        };
        let attempt = request.attempt();
        let used_tokens = request.settle(RUN_TOKENS).billed_tokens();
        self.post(attempt, SettleOutcome::Ran { used_tokens, response: None });
        self.told.push(Outcome::Ran);
    }

    fn fail(&mut self, router: usize, failure: Failure, may_retry: bool) {
        let state = std::mem::take(&mut self.routers[router]);
        let RouterState::Sent(request, is_begun) = state else {
            self.routers[router] = state;
            return;
        };
        let (undispatched, failure) = if failure == Failure::NotBegun && !is_begun {
            (request.return_unbegun(), AttemptFailure::NotReached)
        } else {
            (Undispatched::InDoubt(request.lose_answer(0)), AttemptFailure::AnswerLost)
        };
        let attempt = undispatched.attempt();
        if may_retry && repeat_cause(failure, self.rules, attempt).is_some() {
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
                self.post(attempt, SettleOutcome::NotRun);
                self.waiting_refusals.push(attempt);
            }
            Undispatched::InDoubt(_) => {
                self.post(attempt, SettleOutcome::Unknown);
                self.told.push(Outcome::Unknown);
            }
        }
    }

    fn post(&mut self, attempt: AttemptNumber, outcome: SettleOutcome) {
        let code = ResultCode::Done;
        self.messages.push(SettleRequest { key: KEY.to_owned(), attempt, outcome, code });
    }

    fn deliver(&mut self, index: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages[index % self.messages.len()].clone();
        let attempt = message.attempt;
        let is_release = message.outcome == SettleOutcome::NotRun;
        let decision = self.owner.settle(message, self.now, &self.invariants);
        let is_waiting = self.waiting_refusals.contains(&attempt);
        if is_release && is_waiting && matches!(decision, SettleDecision::Settled { .. }) {
            self.waiting_refusals.retain(|waiting| *waiting != attempt);
            self.told.push(Outcome::NotRun);
            assert_eq!(self.begun_count, 0, "a request that ran was called not run");
        }
    }

    fn check(&self) {
        let account = self.owner.account("b");
        let total = account.held_tokens + account.reserved_tokens + account.settled_tokens;
        assert_eq!(total, GRANTED_TOKENS);
        assert!(account.settled_tokens <= WORST_CASE_TOKENS, "billed twice");
        if !self.rules.is_idempotent {
            assert!(self.begun_count <= 1, "ran {} times", self.begun_count);
        }
        if self.begun_count > 0 {
            let entry = self.owner.lookup(KEY).expect("a request that ran is forgotten");
            assert!(entry.is_closed() || entry.reserved_tokens > 0, "unbilled");
        }
        for promise in Promise::ALL {
            assert_eq!(self.invariants.count(promise), 0, "{}", promise.name());
        }
    }
}

fn runner(router: usize) -> AttemptRunner {
    AttemptRunner { vm_id: format!("v{router}"), incarnation: 1, server_id: "s".into() }
}

fn any_failure() -> impl Strategy<Value = Failure> {
    prop_oneof![Just(Failure::NotBegun), Just(Failure::AnswerLost)]
}

fn any_step() -> impl Strategy<Value = Step> {
    let router = 0usize..2;
    prop_oneof![
        3 => router.clone().prop_map(Step::Ask),
        3 => (router.clone(), any::<bool>())
            .prop_map(|(router, is_begun)| Step::Send { router, is_begun }),
        2 => router.clone().prop_map(Step::Answer),
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
    fn request_of_two_routers_keeps_its_promises_over_crashes_and_late_messages(
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

/// Runs one usual course, with a crash of its router after `crash_after` steps, and a retry.
fn run_with_crash(is_idempotent: bool, crash_after: usize) -> World {
    let course = [Step::Ask(0), Step::Send { router: 0, is_begun: true }, Step::Answer(0)];
    let retry = [
        Step::Crash(0),
        Step::Ask(1),
        Step::Send { router: 1, is_begun: true },
        Step::Answer(1),
        Step::Deliver(0),
        Step::Deliver(0),
        Step::Deliver(1),
        Step::Ask(1),
    ];
    let mut world = World::new(is_idempotent);
    for step in course.into_iter().take(crash_after).chain(retry) {
        world.apply(step);
        world.check();
    }
    world
}

#[test]
fn request_that_is_not_idempotent_begins_at_most_once_whenever_its_router_crashes() {
    let counts: BTreeMap<usize, u32> = (0..=3)
        .map(|crash_after| (crash_after, run_with_crash(false, crash_after).begun_count))
        .collect();

    assert_eq!(counts, BTreeMap::from([(0, 1), (1, 0), (2, 1), (3, 1)]));
}

#[test]
fn idempotent_request_is_billed_once_whenever_its_router_crashes() {
    let worlds = (0..=3).map(|crash_after| run_with_crash(true, crash_after));

    let billed: Vec<u64> = worlds.map(|world| world.owner.account("b").settled_tokens).collect();

    assert_eq!(billed, vec![RUN_TOKENS; 4]);
}
