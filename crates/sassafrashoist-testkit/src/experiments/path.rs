//! `path`: a mixed load, and the time to first token through the routers compared with the same
//! requests sent directly to the engines.

use std::time::Duration;

use eyre::Result;
use futures::stream::{self, StreamExt};
use sassafrashoist_core::invariants::Invariant;

use super::duration_histogram::DurationHistogram;
use super::load::{Appraisal, RequestGenerator, ResponseCheck, check_appraisal};
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use crate::client::caller::{Caller, CallerResponse};
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::audit::Audit;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;

/// Appraisals sent through the routers, and again directly.
const APPRAISAL_COUNT: usize = 300;
/// Bids sent.
const BID_COUNT: usize = 100;
/// Requests in progress at once.
const CONCURRENCY: usize = 8;
/// The most tokens of a response.
const MAX_OUTPUT_TOKENS: u64 = 40;
/// One-way time to a backend server.
const BACKEND_DELAY: Duration = Duration::from_millis(1);
/// The highest allowed ratio of the routed median to the direct one.
const MAX_MEDIAN_RATIO: f64 = 1.5;

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet cannot start.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let mut plan = FleetPlan::new(&["plateau", "rufisque"], 1, EngineSettings::default());
    plan.data_centres[0].vm_count = 2;
    plan.backend_delay = BACKEND_DELAY;
    let fleet = RunningFleet::start(plan).await?;
    let mut generator = RequestGenerator::new(options.seed);
    let appraisals: Vec<Appraisal> =
        (0..APPRAISAL_COUNT).map(|_| generator.make_appraisal(MAX_OUTPUT_TOKENS)).collect();

    let routed_callers: Vec<Caller> =
        (0..fleet.vms.len()).map(|index| fleet.caller(index)).collect::<Result<_>>()?;
    let direct_callers: Vec<Caller> =
        fleet.engines.iter().map(|engine| Caller::new(engine.link.address, "none")).collect();
    let routed = send_all(&appraisals, &routed_callers).await;
    let direct = send_all(&appraisals, &direct_callers).await;
    let bids: Vec<_> = (0..BID_COUNT).map(|_| generator.make_bid()).collect();
    let mut bid_responses = Vec::new();
    for (index, bid) in bids.iter().enumerate() {
        bid_responses.push(routed_callers[index % routed_callers.len()].post(bid).await);
    }

    let mut audit = Audit::collect(&fleet);
    let mut report = ExperimentReport::new("path", options.seed);
    let routed_times = summarise(&appraisals, &routed, &mut audit, &mut report);
    let direct_times = first_token_times(&direct);
    report.requests += BID_COUNT as u64;
    report.answered += bid_responses
        .iter()
        .filter(|bid| bid.as_ref().is_ok_and(|response| response.status == 200))
        .count() as u64;
    report.record_audit(&audit);
    report.set("routed_first_token", routed_times.summary());
    report.set("direct_first_token", direct_times.summary());
    report.set(
        "added_first_token_p50_ms",
        routed_times.percentile_ms(50.0) - direct_times.percentile_ms(50.0),
    );
    let ratio = routed_times.percentile_ms(50.0) / direct_times.percentile_ms(50.0);
    report.set("routed_to_direct_p50", ratio);
    report.require(
        ratio <= MAX_MEDIAN_RATIO,
        format!("routed median is at most {MAX_MEDIAN_RATIO} of the direct one"),
    );
    let all_answered = report.answered == report.requests;
    report.require(all_answered, "every request is answered");
    Ok(report)
}

async fn send_all(appraisals: &[Appraisal], callers: &[Caller]) -> Vec<Result<CallerResponse>> {
    stream::iter(appraisals.iter().enumerate())
        .map(|(index, appraisal)| callers[index % callers.len()].post(&appraisal.request))
        .buffered(CONCURRENCY)
        .collect()
        .await
}

fn first_token_times(responses: &[Result<CallerResponse>]) -> DurationHistogram {
    let mut times = DurationHistogram::new();
    for response in responses.iter().flatten() {
        times.record(response.time_to_first_token);
    }
    times
}

fn summarise(
    appraisals: &[Appraisal],
    responses: &[Result<CallerResponse>],
    audit: &mut Audit,
    report: &mut ExperimentReport,
) -> DurationHistogram {
    report.requests += appraisals.len() as u64;
    for (appraisal, response) in appraisals.iter().zip(responses) {
        match check_appraisal(appraisal, response) {
            ResponseCheck::Correct => report.answered += 1,
            ResponseCheck::Truncated => audit.add(Invariant::CutAnswers, 1),
            ResponseCheck::Mismatched => audit.add(Invariant::CrossedAnswers, 1),
            ResponseCheck::Failed => {}
        }
    }
    first_token_times(responses)
}
