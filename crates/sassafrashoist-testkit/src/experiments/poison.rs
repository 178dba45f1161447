//! `poison`: one request that crashes each engine that runs it is sent again and again through all
//! VMs, at once and in turn, among requests of the same account; one engine crashes without it.

use std::time::Duration;

use eyre::Result;
use futures::stream::{self, StreamExt};
use sassafrashoist_core::result_code::ResultCode;

use super::load::RequestMaker;
use super::options::ExperimentOptions;
use super::outcome_load::{LoadItem, check_items, make_items, send_items};
use super::report::ExperimentReport;
use crate::client::caller::{Call, Caller, CallerResponse};
use crate::client::retrying_caller::{RetryPolicy, VmAddresses};
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::fleet_bundle::APPRAISAL_PATH;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;

/// Engines of each data centre.
const ENGINE_COUNT: usize = 5;
/// Other requests sent.
const REQUEST_COUNT: usize = 400;
/// Other requests in progress at once.
const CONCURRENCY: usize = 16;
/// The most tokens of an answer.
const MAX_ANSWER_TOKENS: u64 = 60;
/// Time to make one token.
const STEP_TIME: Duration = Duration::from_millis(4);
/// How often the poison is sent.
const POISON_COUNT: usize = 60;
/// Copies of the poison in progress at once.
const POISON_CONCURRENCY: usize = 4;
/// The text that crashes an engine.
const CRASH_MARKER: &str = "poison";
/// The most engines of a data centre that one request may crash.
const MAX_CRASHED_ENGINES: usize = 2;
/// How long the load runs before the poison comes.
const LEAD_TIME: Duration = Duration::from_millis(300);
/// How callers of the other requests go on.
const MANNER: RetryPolicy = RetryPolicy {
    max_attempts: 20,
    time_limit: Duration::from_secs(12),
    honors_retry_after: false,
};

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet cannot start.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let engine = EngineSettings {
        step_time: STEP_TIME,
        crash_marker: Some(CRASH_MARKER.to_owned()),
        ..EngineSettings::default()
    };
    let mut plan = FleetPlan::new(&["plateau"], 2, engine.clone());
    plan.data_centres[0].engines = vec![engine; ENGINE_COUNT];
    let fleet = RunningFleet::start(plan).await?;
    let mut maker = RequestMaker::new(options.seed);
    let items = make_items(&mut maker, REQUEST_COUNT, MAX_ANSWER_TOKENS);
    let book = VmAddresses::default();
    let mut callers = Vec::new();
    for (index, vm) in fleet.vms.iter().enumerate() {
        book.set(index, Some(vm.caller_address()?));
        callers.push(fleet.caller(index)?);
    }

    let sending = send_items(callers[0].clone(), book.clone(), items.clone(), CONCURRENCY, MANNER);
    let load = tokio::spawn(sending);
    tokio::time::sleep(LEAD_TIME).await;
    let poisoned = send_poison(&callers).await;
    let crashed_count = count_crashed(&fleet);
    fleet.engines[maker.draw_below(ENGINE_COUNT)].stand_in.crash();
    let tries = load.await?;

    let mut report = ExperimentReport::new("poison", options.seed);
    check_items(&fleet, &items, &tries, &mut report).await;
    let quarantined = poisoned
        .iter()
        .flatten()
        .filter(|answer| answer.result_code() == ResultCode::Quarantined.number())
        .count();
    let not_run = poisoned.iter().flatten().filter(|answer| answer.outcome() == "not-run").count();
    let appraisals = items.iter().filter(|item| matches!(item, LoadItem::Appraisal(_))).count();
    report.set("poison_sent", POISON_COUNT);
    report.set("poison_quarantined", quarantined);
    report.set("poison_not_run", not_run);
    report.set("engines_crashed_by_poison", crashed_count);
    report.set("appraisals_beside", appraisals);
    report.require(
        crashed_count <= MAX_CRASHED_ENGINES,
        format!("at most {MAX_CRASHED_ENGINES} engines crash for one request"),
    );
    report.require(quarantined == POISON_COUNT, "every copy ends as quarantined");
    report.require(report.answered == report.requests, "every other request is answered");
    Ok(report)
}

async fn send_poison(callers: &[Caller]) -> Vec<Result<CallerResponse>> {
    let body = serde_json::json!({
        "model": "appraiser", "prompt": CRASH_MARKER, "max_tokens": 9, "stream": true,
    });
    let call = Call { path: APPRAISAL_PATH.into(), body: body.to_string(), ..Call::default() };
    let copies: Vec<(Caller, Call)> = (0..POISON_COUNT)
        .map(|number| (callers[number % callers.len()].clone(), call.clone()))
        .collect();
    stream::iter(copies)
        .map(|(caller, call)| async move { caller.post(&call).await })
        .buffered(POISON_CONCURRENCY)
        .collect()
        .await
}

fn count_crashed(fleet: &RunningFleet) -> usize {
    fleet.engines.iter().filter(|engine| engine.stand_in.lock().incarnation > 0).count()
}
