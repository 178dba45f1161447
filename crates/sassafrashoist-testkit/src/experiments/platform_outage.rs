//! `platform-outage`: the platform does not respond for most of the run.

use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::Result;
use tokio::time::sleep;

use super::budget_load::{LoadPlan, LoadState, plan_fleet, read_policy, report_load, send_load};
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use crate::fleet::running_fleet::RunningFleet;

/// Tokens paid.
const PAID_TOKENS: u64 = 120_000;
/// Requests per second.
const REQUESTS_PER_SECOND: u32 = 100;
/// The relative load of each data centre.
const WEIGHTS: [usize; 3] = [80, 10, 10];
/// Time before the outage.
const BEFORE_TIME: Duration = Duration::from_secs(2);
/// How long the outage lasts.
const OUTAGE_TIME: Duration = Duration::from_secs(12);
/// Time after the outage.
const AFTER_TIME: Duration = Duration::from_secs(2);

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet cannot start.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let policy = read_policy(options)?;
    let fleet = RunningFleet::start(plan_fleet(policy, PAID_TOKENS)).await?;
    let state = LoadState::default();
    state.paid_tokens.store(PAID_TOKENS, Ordering::Relaxed);
    let plan = LoadPlan {
        requests_per_second: REQUESTS_PER_SECOND,
        duration: BEFORE_TIME + OUTAGE_TIME + AFTER_TIME,
        weights: WEIGHTS.to_vec(),
    };
    let load = send_load(&fleet, &plan, &state, options.seed);
    let (counts, ()) = tokio::join!(load, inject_outage(&fleet));
    let counts = counts?;
    let mut report = ExperimentReport::new("platform-outage", options.seed);
    report_load(&fleet, &counts, policy, &mut report);
    let all_answered = counts.answered == counts.requests;
    report.require(all_answered, "every request is answered through the outage");
    Ok(report)
}

async fn inject_outage(fleet: &RunningFleet) {
    sleep(BEFORE_TIME).await;
    fleet.platform.set_faults(|faults| faults.is_unresponsive = true);
    sleep(OUTAGE_TIME).await;
    fleet.platform.set_faults(|faults| faults.is_unresponsive = false);
}
