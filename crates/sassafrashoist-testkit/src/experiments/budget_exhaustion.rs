//! `budget-exhaustion`: a load that is skewed between data centres runs until the budget is empty.

use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::Result;

use super::budget_load::{LoadPlan, LoadState, plan_fleet, read_policy, report_load, send_load};
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use crate::fleet::running_fleet::RunningFleet;

/// Tokens paid.
const PAID_TOKENS: u64 = 60_000;
/// Requests per second.
const REQUESTS_PER_SECOND: u32 = 150;
/// The relative load of each data centre.
const WEIGHTS: [usize; 3] = [80, 10, 10];
/// How long requests are sent, which is longer than the budget lasts.
const LOAD_TIME: Duration = Duration::from_secs(20);
/// The least fraction of the paid tokens that is settled before the first justified refusal, in
/// parts per 10,000.
const MIN_SETTLED_PER_10_000: u64 = 9_950;

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
        duration: LOAD_TIME,
        weights: WEIGHTS.to_vec(),
    };
    let counts = send_load(&fleet, &plan, &state, options.seed).await?;
    let mut report = ExperimentReport::new("budget-exhaustion", options.seed);
    report_load(&fleet, &counts, policy, &mut report);
    let settled_tokens = counts.settled_at_first_justified_refusal;
    report.require(settled_tokens.is_some(), "the budget is exhausted within the run");
    let settled_per_10_000 = settled_tokens.unwrap_or(0) * 10_000 / PAID_TOKENS;
    report.set("sold_per_10_000_at_first_justified_refusal", settled_per_10_000);
    report.require(
        settled_per_10_000 >= MIN_SETTLED_PER_10_000,
        "99.5% of the paid tokens are settled before the first justified refusal",
    );
    Ok(report)
}
