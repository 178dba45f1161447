//! Requests for a route that was just added, at a fleet of which some VMs get the configuration
//! seconds later than others, in virtual time.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::config_age::ConfigAge;

const VM_COUNTS: [usize; 4] = [7, 60, 295, 336];
const OLD_VERSION: u64 = 11;
const NEW_VERSION: u64 = 15;
/// When the new version is written.
const WRITTEN_AT: Uptime = Uptime::from_secs(100);
/// How long requests are sent from then on.
const RUN_TIME: Duration = Duration::from_secs(8);
const REQUEST_COUNT: u32 = 4_000;
const ROUND_TRIP: Duration = Duration::from_millis(12);
const SERVING_TIME: Duration = Duration::from_millis(85);
/// The first attempt of a caller and its retries.
const MAX_CALLER_ATTEMPTS: usize = 4;
/// The longest time that a VM waits for a version that is known to exist.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// The deadlines of a bid, and of a request with more time.
const DEADLINES: [Duration; 2] = [Duration::from_millis(600), Duration::from_secs(3)];

/// When VMs get the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lag {
    /// A large document takes 1.25 s to reach all VMs, all of which read the topic.
    Spread,
    /// Half of the VMs do not reach the log service, from 4 s before the version until up to 7 s
    /// after it.
    HalfCutOff,
}

/// What a VM does with a request for a route that it does not find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Responds with 404.
    Final,
    /// Responds with 503 and this retry delay while its configuration is doubtful.
    RefuseForNow { retry_after: Duration },
    /// The same, after a wait for the version if it is known to exist.
    WaitShortly { retry_after: Duration },
}

#[derive(Debug, Clone, Copy)]
struct Plan {
    vm_count: usize,
    lag: Lag,
    /// Whether VMs hear of the version when the first of them has it.
    is_announced: bool,
    deadline: Duration,
    policy: Policy,
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Outcome {
    served: f64,
    not_found: f64,
    refused: f64,
    /// The mean time from the first attempt to the response of those that are served.
    mean_served_s: f64,
}

struct Vm {
    confirmed_at: Uptime,
    heard_at: Option<Uptime>,
    has_version_at: Uptime,
}

impl Vm {
    /// Returns what the VM knows of its configuration before it has the new version.
    fn config_age(&self, now: Uptime) -> ConfigAge {
        let mut age = ConfigAge::default();
        age.record_active(OLD_VERSION);
        age.record_confirmed(self.confirmed_at);
        if let Some(heard_at) = self.heard_at.filter(|heard_at| *heard_at <= now) {
            age.record_heard(NEW_VERSION, heard_at);
        }
        age
    }
}

fn start_vms(plan: Plan, rng: &mut StdRng) -> Vec<Vm> {
    let spread = Duration::from_millis(60)..Duration::from_millis(1_250);
    let outage = Duration::from_millis(3_000)..Duration::from_millis(7_000);
    let vms = (0..plan.vm_count).map(|vm| {
        let is_cut_off = plan.lag == Lag::HalfCutOff && vm % 2 == 0;
        let lag = rng.random_range(if is_cut_off { outage.clone() } else { spread.clone() });
        let cut_off_for = if is_cut_off { Duration::from_secs(4) } else { Duration::ZERO };
        Vm {
            confirmed_at: WRITTEN_AT - cut_off_for,
            heard_at: None,
            has_version_at: WRITTEN_AT + lag,
        }
    });
    let mut vms: Vec<Vm> = vms.collect();
    if plan.is_announced {
        let first = vms.iter().map(|vm| vm.has_version_at).min().unwrap();
        vms.iter_mut().for_each(|vm| vm.heard_at = Some(first + ROUND_TRIP));
    }
    vms
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Served,
    NotFound,
    Refused { retry_after: Duration },
}

/// Returns the answer of a VM to a request that arrives at `now`, and when it is given.
fn answer(vm: &Vm, policy: Policy, now: Uptime, deadline: Uptime) -> (Answer, Uptime) {
    if vm.has_version_at <= now {
        return (Answer::Served, now + SERVING_TIME);
    }
    let age = vm.config_age(now);
    let retry_after = match policy {
        Policy::RefuseForNow { retry_after } | Policy::WaitShortly { retry_after }
            if age.is_doubtful(now) =>
        {
            retry_after
        }
        _ => return (Answer::NotFound, now),
    };
    let mut answered_at = now;
    if matches!(policy, Policy::WaitShortly { .. }) && age.newer_version().is_some() {
        answered_at += MAX_WAIT.min((deadline.saturating_sub(now)) / 4);
        if vm.has_version_at <= answered_at {
            return (Answer::Served, vm.has_version_at + SERVING_TIME);
        }
    }
    (Answer::Refused { retry_after }, answered_at)
}

/// Returns the shares of the requests that end served, with 404 and with 503.
fn play(plan: Plan) -> Outcome {
    let mut rng = StdRng::seed_from_u64(39);
    let vms = start_vms(plan, &mut rng);
    let mut outcome = Outcome::default();
    let share = 1.0 / f64::from(REQUEST_COUNT);
    for number in 0..REQUEST_COUNT {
        let mut now = WRITTEN_AT + RUN_TIME * number / REQUEST_COUNT;
        let sent_at = now;
        let deadline = now + plan.deadline;
        let mut last = Answer::NotFound;
        for _ in 0..MAX_CALLER_ATTEMPTS {
            let vm = &vms[rng.random_range(0..vms.len())];
            let (answer, answered_at) = answer(vm, plan.policy, now + ROUND_TRIP / 2, deadline);
            now = answered_at + ROUND_TRIP / 2;
            if now > deadline {
                break;
            }
            last = answer;
            let Answer::Refused { retry_after } = answer else { break };
            let jittered = retry_after.mul_f64(1.0 + rng.random::<f64>());
            now += jittered.min(deadline.saturating_sub(now) / 3);
        }
        match last {
            Answer::Served => {
                outcome.served += share;
                outcome.mean_served_s += share * (now - sent_at).as_secs_f64();
            }
            Answer::NotFound => outcome.not_found += share,
            Answer::Refused { .. } => outcome.refused += share,
        }
    }
    outcome.mean_served_s /= outcome.served;
    outcome
}

fn plans(policy: Policy) -> impl Iterator<Item = Plan> {
    VM_COUNTS.into_iter().flat_map(move |vm_count| {
        [Lag::Spread, Lag::HalfCutOff].into_iter().flat_map(move |lag| {
            [false, true].into_iter().flat_map(move |is_announced| {
                DEADLINES.map(|deadline| Plan { vm_count, lag, is_announced, deadline, policy })
            })
        })
    })
}

const AT_ONCE: Policy = Policy::RefuseForNow { retry_after: Duration::from_millis(100) };
const AFTER_WAIT: Policy = Policy::WaitShortly { retry_after: Duration::from_millis(100) };

// VMs that were behind answered 404, which ends a request, although other VMs would have served it.
#[test]
fn requests_for_a_new_route_are_served_by_the_vms_that_know_it() {
    for plan in plans(AT_ONCE) {
        let outcome = play(plan);
        let before = play(Plan { policy: Policy::Final, ..plan });
        println!("{plan:?}: {outcome:.3?}, with final answers {before:.3?}");

        assert!(outcome.served >= before.served, "{plan:?}: {outcome:?}, {before:?}");
        if plan.lag == Lag::HalfCutOff {
            assert!(outcome.not_found < 0.1, "{plan:?}: {outcome:?}");
            assert!(outcome.served > 0.85, "{plan:?}: {outcome:?}");
        }
        if plan.is_announced {
            assert!(outcome.not_found < 0.03, "{plan:?}: {outcome:?}");
        }
    }
}

// The figures for the postmortem; `--nocapture` prints them.
#[test]
fn retry_delays_and_a_short_wait_compared() {
    for delay_ms in [0, 50, 100, 200] {
        let retry_after = Duration::from_millis(delay_ms);
        for plan in plans(Policy::RefuseForNow { retry_after }) {
            let at_once = play(plan);
            let waiting = play(Plan { policy: Policy::WaitShortly { retry_after }, ..plan });
            println!("{plan:?}: {at_once:.3?}, after a wait {waiting:.3?}");

            assert!(at_once.served > 0.5 && waiting.served > 0.5, "{plan:?}");
        }
    }
}

// A VM that waits for the version takes the time from a bid in which another VM would serve it.
#[test]
fn vms_that_wait_for_the_version_serve_fewer_bids_after_a_cut() {
    let bids = plans(AT_ONCE).filter(|plan| {
        plan.lag == Lag::HalfCutOff && plan.is_announced && plan.deadline == DEADLINES[0]
    });
    for plan in bids {
        let at_once = play(plan);
        let waiting = play(Plan { policy: AFTER_WAIT, ..plan });

        assert!(at_once.served > waiting.served, "{plan:?}: {at_once:?}, {waiting:?}");
    }
}
