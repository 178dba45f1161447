//! `retry-storm`: callers offer twice the capacity and retry sooner than `Retry-After` allows,
//! compared with the same load without retries.

use std::time::Duration;

use eyre::Result;
use sassafrashoist::util::metrics_page::render_metrics;
use sassafrashoist_core::invariants::Invariant;
use tokio::time::Instant;

use super::load::{Appraisal, RequestGenerator, ResponseCheck, check_appraisal};
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
/// Requests that can wait in an engine's queue.
const QUEUE_LENGTH: usize = 16;
/// Time to generate one token.
const STEP_TIME: Duration = Duration::from_millis(4);
/// The most tokens of a response; the mean is about half of it.
const MAX_OUTPUT_TOKENS: u64 = 60;
/// The rate of callers' first attempts, as a multiple of capacity.
const OFFERED_LOAD_FACTOR: f64 = 2.0;
/// The least rate of all attempts of callers that counts as a storm, as a multiple of capacity.
const MIN_STORM_FACTOR: f64 = 4.0;
/// How long each phase sends.
const PHASE_TIME: Duration = Duration::from_secs(6);
/// The least goodput in the storm, as a fraction of the goodput without retries.
const MIN_GOODPUT_RATIO: f64 = 0.8;
/// The most retries of routers, as a fraction of the callers' attempts.
const MAX_RETRY_RATIO: f64 = 0.1;
/// The metric that counts the routers' retries.
const RETRIES_METRIC: &str = "sassafrashoist_retries_total";

/// The results of one phase.
#[derive(Debug, Default)]
struct PhaseResult {
    requests: u64,
    attempts: u64,
    answered: u64,
    time: Duration,
}

impl PhaseResult {
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
    let mut generator = RequestGenerator::new(options.seed);
    let mut audit = Audit::default();

    let baseline = send_phase(&fleet, &mut generator, 1, &mut audit).await?;
    let retries_before = router_retries();
    let storm = send_phase(&fleet, &mut generator, 4, &mut audit).await?;
    let router_retries = router_retries() - retries_before;

    let mut report = ExperimentReport::new("retry-storm", options.seed);
    let totals = Audit::collect(&fleet);
    for invariant in Invariant::ALL {
        audit.add(invariant, totals.violations[invariant.name()]);
    }
    report.record_audit(&audit);
    report.requests = baseline.requests + storm.requests;
    report.answered = baseline.answered + storm.answered;
    let storm_to_capacity = storm.attempts as f64 / storm.time.as_secs_f64() / capacity_per_s();
    let goodput_ratio = storm.goodput_per_s() / baseline.goodput_per_s();
    let retry_ratio = router_retries / storm.attempts as f64;
    report.set("capacity_per_s", capacity_per_s());
    report.set("calm_goodput_per_s", baseline.goodput_per_s());
    report.set("storm_goodput_per_s", storm.goodput_per_s());
    report.set("storm_attempts_to_capacity", storm_to_capacity);
    report.set("goodput_ratio", goodput_ratio);
    report.set("router_retries_to_first_attempts", retry_ratio);
    report.require(
        storm_to_capacity >= MIN_STORM_FACTOR,
        format!("callers send attempts at {MIN_STORM_FACTOR} times capacity or more"),
    );
    report.require(
        goodput_ratio >= MIN_GOODPUT_RATIO,
        format!("goodput is at least {MIN_GOODPUT_RATIO} of that without retries"),
    );
    report.require(
        retry_ratio <= MAX_RETRY_RATIO,
        format!("retries of routers are at most {MAX_RETRY_RATIO} of the callers' attempts"),
    );
    Ok(report)
}

fn capacity_per_s() -> f64 {
    let mean_time_s = STEP_TIME.as_secs_f64() * (MAX_OUTPUT_TOKENS as f64 + 1.0) / 2.0;
    (ENGINE_COUNT * SLOT_COUNT) as f64 / mean_time_s
}

/// Sends requests at a steady rate, each up to `max_attempts` times, and waits for all of them.
async fn send_phase(
    fleet: &RunningFleet,
    generator: &mut RequestGenerator,
    max_attempts: usize,
    audit: &mut Audit,
) -> Result<PhaseResult> {
    let retry_policy = RetryPolicy {
        max_attempts,
        time_limit: Duration::from_secs(10),
        honors_retry_after: false,
    };
    let addresses = VmAddresses::default();
    for (index, vm) in fleet.vms.iter().enumerate() {
        addresses.set(index, Some(vm.caller_address()?));
    }
    let caller = fleet.caller(0)?;
    let rate_per_s = capacity_per_s() * OFFERED_LOAD_FACTOR;
    let count = (PHASE_TIME.as_secs_f64() * rate_per_s) as usize;
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate_per_s));
    let started = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..count {
        ticks.tick().await;
        let (caller, addresses) = (caller.clone(), addresses.clone());
        let appraisal = generator.make_appraisal(MAX_OUTPUT_TOKENS);
        tasks.push(tokio::spawn(async move {
            let result =
                post_with_retries(&caller, &addresses, &appraisal.request, index, retry_policy)
                    .await;
            (appraisal, result)
        }));
    }
    let mut phase = PhaseResult::default();
    for task in tasks {
        let (appraisal, result) = task.await?;
        count_request(&mut phase, &appraisal, &result, audit);
    }
    phase.time = started.elapsed();
    Ok(phase)
}

fn count_request(
    phase: &mut PhaseResult,
    appraisal: &Appraisal,
    result: &RetryResult,
    audit: &mut Audit,
) {
    phase.requests += 1;
    phase.attempts += result.attempt_count;
    let Some(last) = &result.last_response else {
        return;
    };
    match check_appraisal(appraisal, &Ok(last.clone())) {
        ResponseCheck::Correct => phase.answered += 1,
        ResponseCheck::Truncated => audit.add(Invariant::CutAnswers, 1),
        ResponseCheck::Mismatched => audit.add(Invariant::CrossedAnswers, 1),
        ResponseCheck::Failed => {}
    }
}

fn router_retries() -> f64 {
    let page = render_metrics();
    page.lines()
        .filter(|line| line.starts_with(RETRIES_METRIC))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
