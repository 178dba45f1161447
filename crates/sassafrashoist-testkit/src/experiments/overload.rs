//! `overload`: a load of 2.5 times capacity with three priorities and one account that sends 60% of
//! it, then recovery at half of capacity, and a comparison of routing policies below capacity.

use std::time::Duration;

use eyre::Result;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::open_loop_load::{
    DocumentRequestGenerator, LoadPlan, LoadResult, RequestCounts, send_load,
};
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use crate::client::caller::Caller;
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::audit::Audit;
use crate::fleet::fleet_plan::{AccountPlan, FleetPlan};
use crate::fleet::running_fleet::RunningFleet;
use sassafrashoist_core::routing::policy::RoutingPolicy;

/// Routers of the data centre.
const VM_COUNT: usize = 3;
/// Engines of the data centre.
const ENGINE_COUNT: usize = 4;
/// Requests that an engine runs at once.
const SLOT_COUNT: usize = 8;
/// Documents that requests ask about.
const DOCUMENT_COUNT: usize = 60;
/// Tokens of a response.
const OUTPUT_TOKENS: u64 = 20;
/// The priority at which the load exceeds capacity once all more urgent requests are served.
const CONTENDED_PRIORITY: u8 = 5;
/// Accounts besides the large one.
const SMALL_ACCOUNT_COUNT: usize = 4;
/// Time between two samples of the engines.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// The load, as a multiple of capacity.
const OVERLOAD_FACTOR: f64 = 2.5;
/// The load after the overload, as a fraction of capacity.
const RECOVERY_FACTOR: f64 = 0.5;
/// The load under which policies are compared, as a fraction of capacity.
const COMPARISON_FACTOR: f64 = 0.6;
/// The load under which the unloaded time to first token is measured, as a fraction of capacity.
const UNLOADED_FACTOR: f64 = 0.1;
/// The least goodput in overload, as a fraction of capacity.
const MIN_GOODPUT_RATIO: f64 = 0.85;
/// The longest time to first token of the highest priority in overload, as a multiple of its
/// unloaded time.
const MAX_FIRST_TOKEN_RATIO: f64 = 1.5;
/// The least fraction of the requests that is answered after the overload.
const MIN_RECOVERED_RATIO: f64 = 0.99;

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet cannot start or the policy is unknown.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let mut report = ExperimentReport::new("overload", options.seed);
    let policy = match &options.policy {
        Some(name) => serde_json::from_value(json!(name))?,
        None => RoutingPolicy::PrefixAware,
    };
    report.policy = Some(policy.name().to_owned());
    let fleet = RunningFleet::start(build_plan(policy)).await?;
    let capacity = measure_capacity(&fleet, options.seed).await?;
    report.set("capacity_per_s", capacity);
    run_overload(&fleet, capacity, options.seed, &mut report).await?;
    report.record_audit(&Audit::collect(&fleet));
    drop(fleet);
    if options.policy.is_none() {
        compare_policies(capacity, options.seed, &mut report).await?;
    }
    Ok(report)
}

fn build_plan(policy: RoutingPolicy) -> FleetPlan {
    let engine = EngineSettings {
        slot_count: SLOT_COUNT,
        step_time: Duration::from_millis(4),
        prefill_time_per_token: Duration::from_micros(100),
        prefix_cache_tokens: 7_000,
        ..EngineSettings::default()
    };
    let mut plan = FleetPlan::new(&["plateau"], VM_COUNT, engine.clone());
    plan.data_centres[0].engines = vec![engine; ENGINE_COUNT];
    plan.backend_delay = Duration::from_millis(1);
    plan.routing_policy = policy;
    plan.accounts = ["large", "small-1", "small-2", "small-3", "small-4"]
        .map(|id| AccountPlan {
            id: id.to_owned(),
            paid_tokens: 100_000_000,
            split_weights: Vec::new(),
        })
        .to_vec();
    plan
}

fn plan_load(rate: f64, seconds: u64) -> LoadPlan {
    LoadPlan {
        rate,
        duration: Duration::from_secs(seconds),
        document_count: DOCUMENT_COUNT,
        output_tokens: OUTPUT_TOKENS,
        priorities: vec![(0, 150), (5, 350), (9, 500)],
        accounts: vec![600, 100, 100, 100, 100],
    }
}

/// Measures the requests per second without a router, with all slots of the engines in use and the
/// documents divided between the engines.
async fn measure_capacity(fleet: &RunningFleet, seed: u64) -> Result<f64> {
    let duration = Duration::from_secs(3);
    let mut tasks = JoinSet::new();
    let started = Instant::now();
    for worker in 0..ENGINE_COUNT * SLOT_COUNT {
        let engine = worker % ENGINE_COUNT;
        let caller = Caller::new(fleet.engines[engine].link.address, "none");
        let mut generator = DocumentRequestGenerator::new(seed + worker as u64);
        tasks.spawn(async move {
            let mut answered: u64 = 0;
            let mut document = engine;
            while started.elapsed() < duration {
                document = (document + ENGINE_COUNT) % DOCUMENT_COUNT;
                let response =
                    caller.post(&generator.make_request(document, OUTPUT_TOKENS, 5)).await;
                answered += u64::from(response.is_ok_and(|response| response.is_complete));
            }
            answered
        });
    }
    let answered: u64 = tasks.join_all().await.iter().sum();
    Ok(answered as f64 / started.elapsed().as_secs_f64())
}

async fn run_overload(
    fleet: &RunningFleet,
    capacity: f64,
    seed: u64,
    report: &mut ExperimentReport,
) -> Result<()> {
    let unloaded = send_load(fleet, &plan_load(capacity * UNLOADED_FACTOR, 3), seed).await?;
    let overload_plan = plan_load(capacity * OVERLOAD_FACTOR, 6);
    let (overload, queues) =
        tokio::join!(send_load(fleet, &overload_plan, seed + 1), sample_queues(fleet, 6));
    let overload = overload?;
    report.set("engine_load", queues);
    let recovery = send_load(fleet, &plan_load(capacity * RECOVERY_FACTOR, 2), seed + 2).await?;
    for result in [&unloaded, &overload, &recovery] {
        report.requests += result.all.sent;
        report.answered += result.all.answered;
    }
    let goodput_ratio = overload.goodput() / capacity;
    let first_token_ratio = urgent_p95(&overload) / urgent_p95(&unloaded);
    let recovered_ratio = recovery.all.answered_ratio();
    report.set("goodput_ratio", goodput_ratio);
    report.set("urgent_first_token_unloaded_p95_ms", urgent_p95(&unloaded));
    report.set("urgent_first_token_overload_p95_ms", urgent_p95(&overload));
    report.set("urgent_first_token_ratio", first_token_ratio);
    report.set("urgent_first_token_overload", overload.by_priority[&0].first_token.summary());
    report.set("urgent_first_token_unloaded", unloaded.by_priority[&0].first_token.summary());
    report.set("urgent_answered_ratio", overload.by_priority[&0].answered_ratio());
    report.set("refusal_time", overload.all.refusal_time.summary());
    report.set("retry_after_s", json!(overload.retry_after_seconds));
    report.set("fairness", summarise_fairness(&overload));
    report.set("recovered_ratio", recovered_ratio);
    let other_failures = overload.all.sent - overload.all.answered - overload.all.refused;
    report.set("neither_answered_nor_not_run", other_failures);
    report.require(
        goodput_ratio >= MIN_GOODPUT_RATIO,
        format!("goodput is at least {MIN_GOODPUT_RATIO} of capacity"),
    );
    report.require(
        first_token_ratio <= MAX_FIRST_TOKEN_RATIO,
        format!(
            "urgent time to first token is at most {MAX_FIRST_TOKEN_RATIO} of its unloaded time"
        ),
    );
    report.require(
        recovered_ratio >= MIN_RECOVERED_RATIO,
        format!("at least {MIN_RECOVERED_RATIO} of requests are answered after the overload"),
    );
    Ok(())
}

/// Samples the engines and returns the mean numbers of queued and running requests per engine.
async fn sample_queues(fleet: &RunningFleet, seconds: u64) -> Value {
    let (mut queued, mut running, mut samples) = (0, 0, 0);
    let deadline = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < deadline {
        for engine in &fleet.engines {
            let state = engine.stand_in.lock();
            queued += state.slots.queued_count();
            running += state.slots.running_count();
            samples += 1;
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    let mean = |sum: usize| sum as f64 / f64::from(samples);
    json!({ "queued_mean": mean(queued), "running_mean": mean(running) })
}

fn urgent_p95(result: &LoadResult) -> f64 {
    result.by_priority.get(&0).map_or(f64::NAN, |counts| counts.first_token.percentile_ms(95.0))
}

/// Returns the fractions of the accounts' requests that were answered in the priority that exceeds
/// capacity.
fn summarise_fairness(result: &LoadResult) -> Value {
    let ratio_of = |account: usize| {
        let counts = result.by_kind.get(&(CONTENDED_PRIORITY, account));
        counts.map_or(0.0, RequestCounts::answered_ratio)
    };
    let small = (1..=SMALL_ACCOUNT_COUNT).map(ratio_of);
    json!({
        "priority": CONTENDED_PRIORITY,
        "answered_ratio_large": ratio_of(0),
        "answered_ratio_least_small": small.fold(f64::INFINITY, f64::min),
    })
}

/// Sends the same requests to a new fleet for each policy and compares the default with the others.
async fn compare_policies(capacity: f64, seed: u64, report: &mut ExperimentReport) -> Result<()> {
    let mut figures = Vec::new();
    for policy in RoutingPolicy::ALL {
        let fleet = RunningFleet::start(build_plan(policy)).await?;
        let load = plan_load(capacity * COMPARISON_FACTOR, 3);
        let result = send_load(&fleet, &load, seed + 3).await?;
        let first_token_ms = result.all.first_token.percentile_ms(95.0);
        report.set(&format!("first_token_{}", policy.name()), result.all.first_token.summary());
        figures.push((policy, first_token_ms, prefix_hit_ratio(&fleet)));
    }
    let Some((_, default_ms, default_hits)) = figures.pop() else {
        return Ok(());
    };
    report.set("chosen_first_token_p95_ms", default_ms);
    report.set("chosen_prefix_hit_ratio", default_hits);
    for (policy, first_token_ms, hits) in figures {
        let name = policy.name();
        report.set(&format!("first_token_p95_to_{name}"), default_ms / first_token_ms);
        report.set(&format!("prefix_hits_to_{name}"), default_hits / hits);
        report.require(
            default_ms <= first_token_ms,
            format!("time to first token is at most that of {name}"),
        );
        report
            .require(default_hits >= hits, format!("prefix hit ratio is at least that of {name}"));
    }
    Ok(())
}

fn prefix_hit_ratio(fleet: &RunningFleet) -> f64 {
    let (mut hits, mut tokens) = (0, 0);
    for engine in &fleet.engines {
        let state = engine.stand_in.lock();
        hits += state.cache_hit_tokens;
        tokens += state.prompt_tokens;
    }
    hits as f64 / tokens as f64
}
