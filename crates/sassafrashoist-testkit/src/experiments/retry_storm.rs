//! `retry-storm`: callers send twice the capacity's worth of requests and try again at once, heedless
//! of what they are told, beside the same requests without any retries.

use std::time::Duration;

use eyre::Result;
use sassafrashoist::util::metrics_page::render_metrics;
use sassafrashoist_core::invariants::Invariant;
use tokio::time::Instant;

use super::load::{AnswerCheck, Appraisal, RequestMaker, check_appraisal};
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use crate::client::retrying_caller::{RetryPolicy, RetryResult, VmAddresses, post_with_retries};
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::audit::Audit;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;

/// Engines of the fleet.
const ENGINE_COUNT: usize = 2;
/// Requests that an engine runs at once.
const SLOT_COUNT: usize = 8;
/// Requests that wait at an engine.
const QUEUE_LENGTH: usize = 16;
/// Time to make one token.
const STEP_TIME: Duration = Duration::from_millis(4);
/// The most tokens of an answer; half of it on average.
const MAX_ANSWER_TOKENS: u64 = 60;
/// First attempts of callers, as a multiple of the capacity.
const OFFERED_TO_CAPACITY: f64 = 2.0;
/// The attempts of callers that make a storm, as a multiple of the capacity.
const STORM_TO_CAPACITY: f64 = 4.0;
/// How long each phase sends.
const PHASE_TIME: Duration = Duration::from_secs(6);
/// The least part of the goodput without retries that must remain.
const MIN_GOODPUT_RATIO: f64 = 0.8;
/// The most retries of routers, as a part of the first attempts.
const MAX_RETRY_RATIO: f64 = 0.1;
/// The metric that counts the routers' own retries.
const RETRIES_METRIC: &str = "sassafrashoist_retries_total";

/// What one phase gave.
#[derive(Debug, Default)]
struct Phase {
    requests: u64,
    attempts: u64,
    answered: u64,
    time: Duration,
}

impl Phase {
    fn goodput_per_s(&self) -> f64 {
        self.answered as f64 / self.time.as_secs_f64()
    }
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet cannot start.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let engine = EngineSettings {
        step_time: STEP_TIME,
        slot_count: SLOT_COUNT,
        max_queue_length: QUEUE_LENGTH,
        ..EngineSettings::default()
    };
    let mut plan = FleetPlan::new(&["plateau"], 2, engine.clone());
    plan.data_centres[0].engines = vec![engine; ENGINE_COUNT];
    let fleet = RunningFleet::start(plan).await?;
    let mut maker = RequestMaker::new(options.seed);
    let mut audit = Audit::default();

    let calm = send_phase(&fleet, &mut maker, 1, &mut audit).await?;
    let retries_before = router_retries();
    let storm = send_phase(&fleet, &mut maker, 4, &mut audit).await?;
    let router_retries = router_retries() - retries_before;

    let mut report = ExperimentReport::new("retry-storm", options.seed);
    let taken = Audit::collect(&fleet);
    for promise in Invariant::ALL {
        audit.add(promise, taken.violations[promise.name()]);
    }
    report.take_audit(&audit);
    report.requests = calm.requests + storm.requests;
    report.answered = calm.answered + storm.answered;
    let storm_to_capacity = storm.attempts as f64 / storm.time.as_secs_f64() / capacity_per_s();
    let goodput_ratio = storm.goodput_per_s() / calm.goodput_per_s();
    let retry_ratio = router_retries / storm.attempts as f64;
    report.set("capacity_per_s", capacity_per_s());
    report.set("calm_goodput_per_s", calm.goodput_per_s());
    report.set("storm_goodput_per_s", storm.goodput_per_s());
    report.set("storm_attempts_to_capacity", storm_to_capacity);
    report.set("goodput_ratio", goodput_ratio);
    report.set("router_retries_to_first_attempts", retry_ratio);
    report.require(
        storm_to_capacity >= STORM_TO_CAPACITY,
        format!("callers send {STORM_TO_CAPACITY} times the capacity's worth of attempts"),
    );
    report.require(
        goodput_ratio >= MIN_GOODPUT_RATIO,
        format!("goodput stays above {MIN_GOODPUT_RATIO} of that without retries"),
    );
    report.require(
        retry_ratio <= MAX_RETRY_RATIO,
        format!("retries of routers are at most {MAX_RETRY_RATIO} of first attempts"),
    );
    Ok(report)
}

fn capacity_per_s() -> f64 {
    let mean_time_s = STEP_TIME.as_secs_f64() * (MAX_ANSWER_TOKENS as f64 + 1.0) / 2.0;
    (ENGINE_COUNT * SLOT_COUNT) as f64 / mean_time_s
}

/// Sends requests at a steady rate, each up to `max_tries` times, and waits for all of them.
async fn send_phase(
    fleet: &RunningFleet,
    maker: &mut RequestMaker,
    max_tries: usize,
    audit: &mut Audit,
) -> Result<Phase> {
    let manner = RetryPolicy {
        max_attempts: max_tries,
        time_limit: Duration::from_secs(10),
        honors_retry_after: false,
    };
    let book = VmAddresses::default();
    for (index, vm) in fleet.vms.iter().enumerate() {
        book.set(index, Some(vm.caller_address()?));
    }
    let caller = fleet.caller(0)?;
    let rate_per_s = capacity_per_s() * OFFERED_TO_CAPACITY;
    let count = (PHASE_TIME.as_secs_f64() * rate_per_s) as usize;
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate_per_s));
    let started = Instant::now();
    let mut sending = Vec::new();
    for turn in 0..count {
        ticks.tick().await;
        let (caller, book) = (caller.clone(), book.clone());
        let appraisal = maker.make_appraisal(MAX_ANSWER_TOKENS);
        sending.push(tokio::spawn(async move {
            let tries = post_with_retries(&caller, &book, &appraisal.call, turn, manner).await;
            (appraisal, tries)
        }));
    }
    let mut phase = Phase::default();
    for request in sending {
        let (appraisal, tries) = request.await?;
        count_request(&mut phase, &appraisal, &tries, audit);
    }
    phase.time = started.elapsed();
    Ok(phase)
}

fn count_request(phase: &mut Phase, appraisal: &Appraisal, tries: &RetryResult, audit: &mut Audit) {
    phase.requests += 1;
    phase.attempts += tries.attempt_count;
    let Some(last) = &tries.last_response else {
        return;
    };
    match check_appraisal(appraisal, &Ok(last.clone())) {
        AnswerCheck::Right => phase.answered += 1,
        AnswerCheck::Cut => audit.add(Invariant::CutAnswers, 1),
        AnswerCheck::Crossed => audit.add(Invariant::CrossedAnswers, 1),
        AnswerCheck::Refused => {}
    }
}

fn router_retries() -> f64 {
    let page = render_metrics();
    page.lines()
        .filter(|line| line.starts_with(RETRIES_METRIC))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
