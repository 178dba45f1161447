//! Model engines in virtual time, and requests with random prompts, some of which have a part that
//! crashes each engine that begins to answer on it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::requests::crashing_parts::{CrashingParts, PartCrash};

const ENGINE_COUNT: usize = 9;
const ENGINE_DOWN_TIME: Duration = Duration::from_secs(3);
const CONTACT_TIME: Duration = Duration::from_secs(3);
const RUN_TIME: Duration = Duration::from_secs(40);
/// The mean time that a sound request runs.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// How many ids each position of a prompt has; the first parts are popular.
const FIRST_PART_COUNT: u64 = 3;
const OTHER_PART_COUNT: u64 = 120;
/// The id of the bad part.
const BAD: u64 = 0;

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct PromptFleetPlan {
    /// The shared parts of a prompt.
    pub part_count: usize,
    /// The mean number of requests at one engine.
    pub batch: u32,
    /// The part of requests that have the bad part.
    pub bad_share: f64,
    /// The seed.
    pub seed: u64,
}

/// The outcome of a run.
#[derive(Debug, Default)]
pub struct PromptFleetOutcome {
    /// When engines crashed.
    crashes: Vec<Duration>,
    /// When requests with the bad part reached engines.
    bad_arrivals: Vec<Duration>,
    /// How many engines had crashed when the bad part was blamed first.
    pub crashes_until_blamed: usize,
    /// How many other parts were ever blamed.
    pub wrongly_blamed: usize,
    /// The part of the sound requests that were not refused, from twice the contact time after the
    /// fifth crash.
    pub late_sound_share: f64,
}

impl PromptFleetOutcome {
    /// Returns the arrivals with the bad part later than the contact time after the fifth crash.
    pub fn late_arrivals(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else {
            return 0;
        };
        self.bad_arrivals.iter().filter(|at| **at > *fifth + CONTACT_TIME).count()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Crash { engine: usize, start: usize, trial: bool },
    Answer { engine: usize, request: usize },
    Evaluate,
}

struct Run {
    start: usize,
    sent_at: Duration,
    parts: Vec<u64>,
    is_trial: bool,
}

/// Plays a run.
pub fn play(plan: &PromptFleetPlan) -> PromptFleetOutcome {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut table = CrashingParts::default();
    let mut outcome = PromptFleetOutcome::default();
    let mut events = BinaryHeap::new();
    let mut event_count = 0_u64;
    let mut push = |events: &mut BinaryHeap<_>, at: Duration, event: Event| {
        event_count += 1;
        events.push(Reverse((at, event_count, event)));
    };
    let mut engines: Vec<BTreeMap<usize, Run>> =
        (0..ENGINE_COUNT).map(|_| BTreeMap::new()).collect();
    let mut starts = [0_usize; ENGINE_COUNT];
    let mut up_at = [Duration::ZERO; ENGINE_COUNT];
    let mut request_count = 0;
    let mut blamed_ever = BTreeSet::new();
    let mut has_trial = false;
    let (mut late_sound, mut late_sent) = (0_u32, 0_u32);
    let pause = ANSWER_TIME / (ENGINE_COUNT as u32 * plan.batch);
    push(&mut events, Duration::ZERO, Event::Arrive);
    push(&mut events, Duration::ZERO, Event::Evaluate);
    while let Some(Reverse((now, _, event))) = events.pop() {
        if now > RUN_TIME {
            break;
        }
        match event {
            Event::Arrive => {
                push(&mut events, now + pause.mul_f64(2.0 * rng.random::<f64>()), Event::Arrive);
                let mut parts = vec![1 + rng.random_range(0..FIRST_PART_COUNT)];
                for position in 1..plan.part_count as u64 {
                    let id = rng.random_range(0..OTHER_PART_COUNT);
                    parts.push(1_000 * position + id);
                }
                let is_bad = rng.random_bool(plan.bad_share);
                if is_bad {
                    let position = rng.random_range(1..plan.part_count);
                    parts[position] = BAD;
                }
                let blamed: Vec<_> =
                    parts.iter().filter_map(|part| table.trial_at(*part)).collect();
                let is_trial = blamed.len() == 1 && blamed[0] <= now && !has_trial;
                let is_sent = blamed.is_empty() || is_trial;
                let is_judged =
                    outcome.crashes.get(4).is_some_and(|fifth| now > *fifth + CONTACT_TIME * 2);
                if !is_bad && is_judged {
                    late_sound += 1;
                    late_sent += u32::from(is_sent);
                }
                let up: Vec<_> = (0..ENGINE_COUNT).filter(|e| up_at[*e] <= now).collect();
                if !is_sent || up.is_empty() {
                    continue;
                }
                has_trial |= is_trial;
                request_count += 1;
                let engine = up[rng.random_range(0..up.len())];
                let start = starts[engine];
                engines[engine].insert(request_count, Run { start, sent_at: now, parts, is_trial });
                let begins_in = Duration::from_millis(rng.random_range(60..400));
                if is_bad {
                    outcome.bad_arrivals.push(now);
                    let crash = Event::Crash { engine, start, trial: is_trial };
                    push(&mut events, now + begins_in, crash);
                } else {
                    let runs_for = ANSWER_TIME.mul_f64(0.5 + rng.random::<f64>());
                    let answer = Event::Answer { engine, request: request_count };
                    push(&mut events, now + begins_in + runs_for, answer);
                }
            }
            Event::Crash { engine, start, trial } => {
                has_trial &= !trial;
                if starts[engine] != start {
                    continue;
                }
                outcome.crashes.push(now);
                for run in std::mem::take(&mut engines[engine]).into_values() {
                    has_trial &= !run.is_trial;
                    for part in run.parts {
                        let server_id = format!("{engine}-{start}");
                        let (seen_at, sent_at) = (now, run.sent_at);
                        table.record(&PartCrash { part, server_id, seen_at, sent_at });
                    }
                }
                starts[engine] += 1;
                up_at[engine] = now + ENGINE_DOWN_TIME;
                blamed_ever.extend(table.evaluate(now));
            }
            Event::Answer { engine, request } => {
                if let Some(run) = engines[engine].remove(&request) {
                    has_trial &= !run.is_trial;
                    assert_eq!(run.start, starts[engine]);
                    for part in run.parts {
                        table.clear(part, run.sent_at);
                    }
                }
            }
            Event::Evaluate => {
                blamed_ever.extend(table.evaluate(now));
                push(&mut events, now + Duration::from_millis(500), Event::Evaluate);
            }
        }
        if outcome.crashes_until_blamed == 0 && blamed_ever.contains(&BAD) {
            outcome.crashes_until_blamed = outcome.crashes.len();
        }
    }
    outcome.wrongly_blamed = blamed_ever.iter().filter(|part| **part != BAD).count();
    outcome.late_sound_share =
        if late_sound == 0 { 1.0 } else { f64::from(late_sent) / f64::from(late_sound) };
    outcome
}
