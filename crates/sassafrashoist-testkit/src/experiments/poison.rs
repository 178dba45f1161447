//! `poison`: a request that crashes every engine that runs it is sent repeatedly and concurrently
//! through all VMs, during a load of the same account; one engine also crashes for another reason.

use std::time::Duration;

use eyre::Result;
use futures::stream::{self, StreamExt};
use sassafrashoist_core::result_code::ResultCode;

use super::load::RequestGenerator;
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use super::retrying_load::{KeyedRequest, check_results, make_keyed_requests, send_keyed_requests};
use crate::client::caller::{Caller, CallerRequest, CallerResponse};
use crate::client::retrying_caller::{RetryPolicy, VmAddresses};
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::fleet_bundle::APPRAISAL_PATH;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;

/// Engines of each data centre.
const ENGINE_COUNT: usize = 5;
/// Requests of the background load.
const REQUEST_COUNT: usize = 400;
/// Requests of the background load in progress at once.
const CONCURRENCY: usize = 16;
/// The most tokens of a response.
const MAX_OUTPUT_TOKENS: u64 = 60;
/// Time to generate one token.
const STEP_TIME: Duration = Duration::from_millis(4);
/// How many copies of the poison request are sent.
const POISON_COUNT: usize = 60;
/// Copies of the poison request in progress at once.
const POISON_CONCURRENCY: usize = 4;
/// The prompt text that crashes an engine.
const CRASH_MARKER: &str = "poison";
/// The most engines of a data centre that one request may crash.
const MAX_CRASHED_ENGINES: usize = 2;
/// How long the background load runs before the poison request is sent.
const LEAD_TIME: Duration = Duration::from_millis(300);
/// How callers of the background load retry.
const RETRY_POLICY: RetryPolicy = RetryPolicy {
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
    let mut generator = RequestGenerator::new(options.seed);
    let requests = make_keyed_requests(&mut generator, REQUEST_COUNT, MAX_OUTPUT_TOKENS);
    let addresses = VmAddresses::default();
    let mut callers = Vec::new();
    for (index, vm) in fleet.vms.iter().enumerate() {
        addresses.set(index, Some(vm.caller_address()?));
        callers.push(fleet.caller(index)?);
    }

    let sending = send_keyed_requests(
        callers[0].clone(),
        addresses.clone(),
        requests.clone(),
        CONCURRENCY,
        RETRY_POLICY,
    );
    let load = tokio::spawn(sending);
    tokio::time::sleep(LEAD_TIME).await;
    let poison_responses = send_poison(&callers).await;
    let crashed_count = count_crashed(&fleet);
    fleet.engines[generator.random_below(ENGINE_COUNT)].stand_in.crash();
    let results = load.await?;

    let mut report = ExperimentReport::new("poison", options.seed);
    check_results(&fleet, &requests, &results, &mut report).await;
    let quarantined_count = poison_responses
        .iter()
        .flatten()
        .filter(|response| response.result_code() == ResultCode::Quarantined.number())
        .count();
    let not_run_count = poison_responses
        .iter()
        .flatten()
        .filter(|response| response.outcome() == "not-run")
        .count();
    let appraisal_count =
        requests.iter().filter(|request| matches!(request, KeyedRequest::Appraisal(_))).count();
    report.set("poison_sent", POISON_COUNT);
    report.set("poison_quarantined", quarantined_count);
    report.set("poison_not_run", not_run_count);
    report.set("engines_crashed_by_poison", crashed_count);
    report.set("appraisals_beside", appraisal_count);
    report.require(
        crashed_count <= MAX_CRASHED_ENGINES,
        format!("at most {MAX_CRASHED_ENGINES} engines crash for one request"),
    );
    report.require(
        quarantined_count == POISON_COUNT,
        "every copy of the poison request ends as quarantined",
    );
    report.require(
        report.answered == report.requests,
        "every request of the background load is answered",
    );
    Ok(report)
}

async fn send_poison(callers: &[Caller]) -> Vec<Result<CallerResponse>> {
    let body = serde_json::json!({
        "model": "appraiser", "prompt": CRASH_MARKER, "max_tokens": 9, "stream": true,
    });
    let request = CallerRequest {
        path: APPRAISAL_PATH.into(),
        body: body.to_string(),
        ..CallerRequest::default()
    };
    let copies: Vec<(Caller, CallerRequest)> = (0..POISON_COUNT)
        .map(|number| (callers[number % callers.len()].clone(), request.clone()))
        .collect();
    stream::iter(copies)
        .map(|(caller, request)| async move { caller.post(&request).await })
        .buffered(POISON_CONCURRENCY)
        .collect()
        .await
}

fn count_crashed(fleet: &RunningFleet) -> usize {
    fleet.engines.iter().filter(|engine| engine.stand_in.lock().incarnation > 0).count()
}
