//! Engines and VMs in virtual time that serve long and short prompts.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::server_directory::{ServerDirectory, ServerRequirements};
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::server_state::ReportedLoad;
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;

const POOL: &str = "engines";
const LATENCY: Duration = Duration::from_millis(1);
const CHUNK_TOKENS: u64 = 2_048;
const MAX_TOKENS: u64 = 54_600;
const SESSIONS: usize = 700;
/// The part of the long prompts that begin a session with a shared part that no engine has cached.
const NEW_SESSION_PART: f64 = 0.25;
const CACHE_WINDOW: Duration = Duration::from_secs(10);
const HOLD_INTERVAL: Duration = Duration::from_millis(20);
pub const LONG: usize = 0;
pub const CHAT: usize = 1;
pub const TAGS: usize = 2;
const EVENTS: [u32; 3] = [42, 32, 3];
const MEAN_TOKENS: [f64; 3] = [1_228.0, 628.0, 1_800.0];
const MEAN_SHARED_TOKENS: f64 = 5_382.0;

/// A deployment and its traffic.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub vms: usize,
    pub engines: usize,
    pub slots: u32,
    pub queue_places: usize,
    pub tokens_per_ms: f64,
    pub step_ms: f64,
    /// The factor between the fastest and the slowest engine.
    pub spread: f64,
    pub per_s: [f64; 3],
    pub target_ms: [u64; 3],
    /// The factor of the rate of each kind of prompt, by time.
    pub factors: fn(Uptime) -> [f64; 3],
    /// The number of VMs that get all long prompts.
    pub long_vms: usize,
    /// The size that callers of long prompts state, as a multiple of the true one.
    pub stated_factor: f64,
    pub warm_up: Duration,
    pub run_time: Duration,
    pub seed: u64,
}

/// A way to place requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Variant {
    /// Whether the engines report their slowness.
    pub reports_slowness: bool,
    /// Whether a long prompt waits until the chosen server is free of known requests.
    pub holds_back: bool,
    /// The class of each kind of prompt; engines admit lower ones first.
    pub priorities: [u8; 3],
    /// Whether engines also process the prompts of lower classes first.
    pub preempts_prefill: bool,
}

/// What became of the requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    pub asked: u32,
    pub in_target: u32,
    pub late: u32,
    pub rejected: u32,
}

impl Outcome {
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.in_target += other.in_target;
        self.late += other.late;
        self.rejected += other.rejected;
    }

    pub fn in_target_share(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.asked.max(1))
    }
}

#[derive(Debug, Clone)]
struct Job {
    kind: usize,
    vm: usize,
    arrived_at: Uptime,
    sent_at: Uptime,
    requirements: ServerRequirements,
    chosen_tokens: u64,
    /// The true tokens of the shared part and of the rest.
    shared_tokens: u64,
    own_tokens: u64,
    tokens_left: u64,
    events_left: u32,
    attempts: u32,
}

#[derive(Debug)]
struct Engine {
    id: String,
    tokens_per_ms: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    cached: HashMap<String, Uptime>,
    slowness: f64,
    slowness_ends_at: Uptime,
    is_stepping: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Held(usize),
    Received { engine: usize, job: usize },
    StepEnd(usize),
}

/// VMs and engines in virtual time.
pub struct EngineFleet<'a> {
    deployment: &'a Deployment,
    variant: Variant,
    /// Decides the traffic, so that it is the same for all variants.
    traffic_rng: StdRng,
    rng: StdRng,
    vms: Vec<ServerDirectory>,
    engines: Vec<Engine>,
    sessions: Vec<(u64, u64)>,
    events: BinaryHeap<Reverse<(Uptime, Event)>>,
    jobs: Vec<Option<Job>>,
    outcomes: [Outcome; 3],
}

impl<'a> EngineFleet<'a> {
    /// Plays a deployment; returns what became of the requests of each kind after the warm-up.
    pub fn play(deployment: &'a Deployment, variant: Variant) -> [Outcome; 3] {
        let mut traffic_rng = StdRng::seed_from_u64(deployment.seed);
        let engine = |index: usize| Engine {
            id: format!("engine-{index}"),
            tokens_per_ms: deployment.tokens_per_ms
                * deployment.spread.powf(0.5 - index as f64 / deployment.engines as f64),
            running: Vec::new(),
            waiting: VecDeque::new(),
            cached: HashMap::new(),
            slowness: 1.0,
            slowness_ends_at: Uptime::ZERO,
            is_stepping: false,
        };
        let mut fleet = Self {
            deployment,
            variant,
            vms: (0..deployment.vms).map(|_| directory(deployment)).collect(),
            engines: (0..deployment.engines).map(engine).collect(),
            sessions: (0..SESSIONS)
                .map(|_| (traffic_rng.random(), shared_tokens(&mut traffic_rng)))
                .collect(),
            traffic_rng,
            rng: StdRng::seed_from_u64(deployment.seed + 1_000),
            events: BinaryHeap::new(),
            jobs: Vec::new(),
            outcomes: [Outcome::default(); 3],
        };
        for kind in [LONG, CHAT, TAGS] {
            fleet.events.push(Reverse((Uptime::ZERO, Event::Arrival(kind))));
        }
        while let Some(Reverse((now, event))) = fleet.events.pop() {
            if now >= deployment.run_time + Duration::from_secs(8) {
                break;
            }
            match event {
                Event::Arrival(_) if now >= deployment.run_time => {}
                Event::Arrival(kind) => fleet.arrive(kind, now),
                Event::Held(job) => fleet.place(job, now),
                Event::Received { engine, job } => fleet.receive(engine, job, now),
                Event::StepEnd(engine) => fleet.end_step(engine, now),
            }
        }
        for outcome in &mut fleet.outcomes {
            outcome.late = outcome.asked - outcome.in_target - outcome.rejected;
        }
        fleet.outcomes
    }

    fn arrive(&mut self, kind: usize, now: Uptime) {
        let deployment = self.deployment;
        let rate = deployment.per_s[kind] * (deployment.factors)(now)[kind];
        let wait = Duration::from_secs_f64(exponential(&mut self.traffic_rng) / rate);
        self.events.push(Reverse((now + wait, Event::Arrival(kind))));
        let mut vm = self.traffic_rng.random_range(0..deployment.vms);
        let own_tokens = 1 + (MEAN_TOKENS[kind] * exponential(&mut self.traffic_rng)) as u64;
        let mut requirements = ServerRequirements {
            pool_id: POOL.to_owned(),
            suffix_tokens: own_tokens,
            ..ServerRequirements::default()
        };
        let mut shared = 0;
        if kind == LONG {
            let session = self.traffic_rng.random_range(0..SESSIONS);
            if self.traffic_rng.random::<f64>() < NEW_SESSION_PART {
                self.sessions[session] =
                    (self.traffic_rng.random(), shared_tokens(&mut self.traffic_rng));
            }
            // The callers of a session reach one VM.
            vm = session % deployment.long_vms;
            shared = self.sessions[session].1;
            let stated = |tokens: u64| (tokens as f64 * deployment.stated_factor) as u64;
            requirements.prefix_id = Some(self.sessions[session].0.to_string());
            requirements.prefix_tokens = stated(shared);
            requirements.suffix_tokens = stated(own_tokens);
        }
        if now >= deployment.warm_up {
            self.outcomes[kind].asked += 1;
        }
        self.jobs.push(Some(Job {
            kind,
            vm,
            arrived_at: now,
            sent_at: now,
            requirements,
            chosen_tokens: 0,
            shared_tokens: shared,
            own_tokens,
            tokens_left: 0,
            events_left: EVENTS[kind],
            attempts: 0,
        }));
        self.place(self.jobs.len() - 1, now);
    }

    fn place(&mut self, index: usize, now: Uptime) {
        let job = self.jobs[index].as_mut().unwrap();
        let directory = &mut self.vms[job.vm];
        let random = self.rng.random();
        let found = directory.find(&job.requirements, random, now).unwrap();
        if self.variant.holds_back && job.kind == LONG {
            let target = Duration::from_millis(self.deployment.target_ms[LONG]);
            let server = directory.server(&found.listing.id).unwrap();
            if server.expected_request_count(now) >= 0.5 && now < job.arrived_at + target / 4 {
                self.events.push(Reverse((now + HOLD_INTERVAL, Event::Held(index))));
                return;
            }
        }
        assert!(directory.begin_attempt(&found, &job.requirements, now));
        job.sent_at = now;
        job.attempts += 1;
        job.chosen_tokens = found.prefill_tokens;
        let engine = found.listing.id.trim_start_matches("engine-").parse().unwrap();
        self.events.push(Reverse((now + LATENCY, Event::Received { engine, job: index })));
    }

    fn receive(&mut self, index: usize, job: usize, now: Uptime) {
        let engine = &mut self.engines[index];
        if engine.waiting.len() < self.deployment.queue_places {
            let mut job = self.jobs[job].take().unwrap();
            job.tokens_left = job.own_tokens;
            if let Some(prefix_id) = &job.requirements.prefix_id {
                let cached_at = engine.cached.insert(prefix_id.clone(), now);
                if cached_at.is_none_or(|at| now > at + 2 * CACHE_WINDOW) {
                    job.tokens_left += job.shared_tokens;
                }
            }
            job.tokens_left = job.tokens_left.min(MAX_TOKENS);
            let priorities = self.variant.priorities;
            let is_behind = |other: &Job| priorities[other.kind] <= priorities[job.kind];
            let place = engine.waiting.partition_point(is_behind);
            engine.waiting.insert(place, job);
            if !engine.is_stepping {
                self.begin_step(index, now);
            }
            return;
        }
        let load = self.load(index);
        let id = &self.engines[index].id;
        let rejected = self.jobs[job].as_mut().unwrap();
        let directory = &mut self.vms[rejected.vm];
        directory.record_load(id, load, now + LATENCY);
        directory.record_no_response(id, rejected.chosen_tokens);
        directory.end_attempt(id, AttemptVerdict::Neutral, now + LATENCY);
        if rejected.attempts < 2 {
            rejected.requirements.excluded.push(id.clone());
            self.place(job, now + LATENCY);
        } else if rejected.arrived_at >= self.deployment.warm_up {
            self.outcomes[rejected.kind].rejected += 1;
        }
    }

    fn begin_step(&mut self, index: usize, now: Uptime) {
        let engine = &mut self.engines[index];
        while engine.running.len() < self.deployment.slots as usize
            && let Some(job) = engine.waiting.pop_front()
        {
            engine.running.push(job);
        }
        engine.is_stepping = !engine.running.is_empty();
        if !engine.is_stepping {
            return;
        }
        while now >= engine.slowness_ends_at {
            // Spells of 300 ms, between them 700 ms at the usual speed, as means.
            let is_usual = engine.slowness > 1.0;
            engine.slowness = if is_usual { 1.0 } else { self.rng.random_range(1.3..2.5) };
            let mean = Duration::from_millis(if is_usual { 700 } else { 300 });
            engine.slowness_ends_at =
                engine.slowness_ends_at.max(now) + mean.mul_f64(exponential(&mut self.rng));
        }
        if self.variant.preempts_prefill {
            engine.running.sort_by_key(|job| self.variant.priorities[job.kind]);
        }
        let mut budget = CHUNK_TOKENS;
        for job in &mut engine.running {
            let tokens = job.tokens_left.min(budget);
            budget -= tokens;
            job.tokens_left -= tokens;
        }
        let work_ms = (CHUNK_TOKENS - budget) as f64 / engine.tokens_per_ms;
        let usual_speed = self.deployment.tokens_per_ms;
        let step_ms = self.deployment.step_ms * usual_speed / engine.tokens_per_ms;
        let duration = Duration::from_secs_f64(work_ms.max(step_ms) * engine.slowness / 1_000.0);
        self.events.push(Reverse((now + duration, Event::StepEnd(index))));
    }

    fn end_step(&mut self, index: usize, now: Uptime) {
        let load = self.load(index);
        let engine = &mut self.engines[index];
        let heard_at = now + LATENCY;
        engine.running.retain_mut(|job| {
            if job.tokens_left > 0 {
                return true;
            }
            let directory = &mut self.vms[job.vm];
            directory.record_bytes(&engine.id, heard_at);
            if job.events_left == EVENTS[job.kind] {
                let waited = heard_at - job.sent_at;
                directory.record_load(&engine.id, load, heard_at);
                directory.record_response_start(&engine.id, job.chosen_tokens, waited);
                let target = Duration::from_millis(self.deployment.target_ms[job.kind]);
                let is_in_target = heard_at - job.arrived_at <= target;
                if job.arrived_at >= self.deployment.warm_up && is_in_target {
                    self.outcomes[job.kind].in_target += 1;
                }
            }
            job.events_left -= 1;
            if job.events_left == 0 {
                directory.end_attempt(&engine.id, AttemptVerdict::Succeeded, heard_at);
            }
            job.events_left > 0
        });
        self.begin_step(index, now);
    }

    fn load(&self, index: usize) -> ReportedLoad {
        let engine = &self.engines[index];
        let percent = (engine.slowness * 100.0) as u32;
        ReportedLoad {
            running_count: engine.running.len() as u32,
            waiting_count: engine.waiting.len() as u32,
            slot_count: self.deployment.slots,
            slowness_percent: self.variant.reports_slowness.then_some(percent),
        }
    }
}

fn directory(deployment: &Deployment) -> ServerDirectory {
    let mut directory = ServerDirectory::new("dc".to_owned(), CACHE_WINDOW, Duration::from_secs(2));
    for index in 0..deployment.engines {
        let listing = ServerListing {
            id: format!("engine-{index}"),
            pool_id: POOL.to_owned(),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
            data_centre_id: "dc".to_owned(),
            slot_count: deployment.slots,
            is_draining: false,
            started_at_unix_ms: 1,
            software_version: "v1".to_owned(),
        };
        directory.add_or_update(listing, Uptime::ZERO);
    }
    directory
}

fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// Draws the size of the shared part of a session: the square of an exponential has a long tail.
fn shared_tokens(rng: &mut StdRng) -> u64 {
    let size = MEAN_SHARED_TOKENS / 2.0 * exponential(rng).powi(2);
    (size as u64).min(MAX_TOKENS)
}
