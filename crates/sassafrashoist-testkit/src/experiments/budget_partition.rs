//! `budget-partition`: the data centres are cut off from each other and from the platform for most
//! of the run.

use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::Result;
use sassafrashoist_core::budgets::policy::BudgetPolicy;
use tokio::time::sleep;

use super::budget_load::{
    LoadCounts, LoadPlan, LoadState, plan_fleet, read_policy, report_load, send_load,
};
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use crate::fleet::running_fleet::RunningFleet;

/// Tokens paid at the start.
const PAID_TOKENS: u64 = 36_000;
/// Tokens paid during the partition.
const TOP_UP_TOKENS: u64 = 20_000;
/// Requests per second.
const REQUESTS_PER_SECOND: u32 = 100;
/// The relative load of each data centre.
const WEIGHTS: [usize; 3] = [80, 10, 10];
/// Time before the partition.
const BEFORE_TIME: Duration = Duration::from_secs(3);
/// How long the partition lasts.
const PARTITION_TIME: Duration = Duration::from_secs(8);
/// Time after the partition.
const AFTER_TIME: Duration = Duration::from_secs(2);
/// The even split must cause at least this many times the false refusals of the tested policy.
const MIN_EVEN_SPLIT_FACTOR: u64 = 5;

/// Runs the experiment, then the same load under the even split for comparison.
///
/// # Errors
///
/// Fails when the fleet cannot start.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let policy = read_policy(options)?;
    let mut report = ExperimentReport::new("budget-partition", options.seed);
    let counts = run_policy(policy, options.seed, &mut report).await?;
    if policy != BudgetPolicy::EvenSplit {
        let mut even_report = ExperimentReport::new("budget-partition", options.seed);
        let even_counts =
            run_policy(BudgetPolicy::EvenSplit, options.seed, &mut even_report).await?;
        report.set("even_split_false_refusals_cut_off", even_counts.false_refusals_cut_off);
        report.require(
            counts.false_refusals_cut_off * MIN_EVEN_SPLIT_FACTOR
                <= even_counts.false_refusals_cut_off,
            "false refusals during the partition are at most a fifth of the even split's",
        );
    }
    Ok(report)
}

async fn run_policy(
    policy: BudgetPolicy,
    seed: u64,
    report: &mut ExperimentReport,
) -> Result<LoadCounts> {
    let fleet = RunningFleet::start(plan_fleet(policy, PAID_TOKENS)).await?;
    let state = LoadState::default();
    state.paid_tokens.store(PAID_TOKENS, Ordering::Relaxed);
    let plan = LoadPlan {
        requests_per_second: REQUESTS_PER_SECOND,
        duration: BEFORE_TIME + PARTITION_TIME + AFTER_TIME,
        weights: WEIGHTS.to_vec(),
    };
    let load = send_load(&fleet, &plan, &state, seed);
    let (counts, faults) = tokio::join!(load, inject_partition(&fleet, &state));
    faults?;
    let counts = counts?;
    report_load(&fleet, &counts, policy, report);
    Ok(counts)
}

async fn inject_partition(fleet: &RunningFleet, state: &LoadState) -> Result<()> {
    sleep(BEFORE_TIME).await;
    state.is_partitioned.store(true, Ordering::Relaxed);
    set_partitioned(fleet, true);
    sleep(PARTITION_TIME / 2).await;
    fleet.top_up(&fleet.plan.accounts[0], "during-partition", TOP_UP_TOKENS).await?;
    state.paid_tokens.fetch_add(TOP_UP_TOKENS, Ordering::Relaxed);
    sleep(PARTITION_TIME / 2).await;
    set_partitioned(fleet, false);
    state.is_partitioned.store(false, Ordering::Relaxed);
    Ok(())
}

fn set_partitioned(fleet: &RunningFleet, is_cut: bool) {
    let count = fleet.plan.data_centres.len();
    for a in 0..count {
        fleet.set_platform_cut(a, is_cut);
        for b in 0..a {
            fleet.set_data_centres_cut(a, b, is_cut);
        }
    }
}
