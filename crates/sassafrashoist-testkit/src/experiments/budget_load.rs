//! An open-loop load on one budget, which classifies refusals for lack of tokens as justified or
//! false.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use eyre::{Result, bail};
use futures::stream::{FuturesUnordered, StreamExt};
use sassafrashoist_core::budgets::policy::BudgetPolicy;
use sassafrashoist_core::ids::Tokens;
use sassafrashoist_core::invariants::Invariant;
use tokio::time::{Instant, sleep_until};

use super::load::{Appraisal, RequestGenerator, ResponseCheck, check_appraisal};
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use crate::client::caller::{Caller, CallerResponse};
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::audit::{Audit, sum_budgets};
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;

/// The most tokens of a response.
const MAX_OUTPUT_TOKENS: u64 = 40;
/// The result codes of a refusal for lack of tokens.
const BUDGET_CODES: std::ops::RangeInclusive<u16> = 5001..=5004;

/// The load to send.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Requests per second over all data centres.
    pub requests_per_second: u32,
    /// How long requests are sent.
    pub duration: Duration,
    /// The relative number of requests of each data centre.
    pub weights: Vec<usize>,
}

/// Counts of requests by their result.
#[derive(Debug, Clone, Default)]
pub struct LoadCounts {
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Truncated responses that claim to be complete.
    pub truncated_responses: u64,
    /// Responses with text that is not part of the expected response.
    pub mismatched_responses: u64,
    /// Refusals while the unclaimed tokens (paid, but neither settled nor reserved) were fewer than
    /// the worst case of the request.
    pub justified_refusals: u64,
    /// Refusals while enough tokens were unclaimed, and in reach of the data centre.
    pub false_refusals_reachable: u64,
    /// Refusals while enough tokens were unclaimed, but the partitioned data centre held too few.
    pub false_refusals_cut_off: u64,
    /// Requests that failed for another reason.
    pub other_failures: u64,
    /// Tokens settled when the first justified refusal was counted.
    pub settled_at_first_justified_refusal: Option<Tokens>,
    /// A description of the first false refusal with reachable tokens.
    pub first_false_refusal: Option<String>,
}

/// State that the fault injection of an experiment shares with its load.
#[derive(Debug, Default)]
pub struct LoadState {
    /// Whether the data centres are cut off from each other and from the platform.
    pub is_partitioned: AtomicBool,
    /// The tokens paid so far.
    pub paid_tokens: AtomicU64,
}

/// Returns the policy that the options name, or the default one.
///
/// # Errors
///
/// Fails when the policy is unknown.
pub fn read_policy(options: &ExperimentOptions) -> Result<BudgetPolicy> {
    let Some(name) = &options.policy else {
        return Ok(BudgetPolicy::default());
    };
    match serde_json::from_value(serde_json::Value::from(name.replace('-', "_"))) {
        Ok(policy) => Ok(policy),
        Err(_) => bail!(
            "unknown policy {name:?}; one of: pair, chunk-lease, even-split, claim-per-request"
        ),
    }
}

/// Plans a fleet of three data centres with two VMs each and one budget.
pub fn plan_fleet(policy: BudgetPolicy, paid_tokens: Tokens) -> FleetPlan {
    let engine = EngineSettings { slot_count: 64, ..EngineSettings::default() };
    let mut plan = FleetPlan::new(&["plateau", "rufisque", "pikine"], 2, engine);
    plan.budget_policy = policy;
    plan.data_centre_delay = Duration::from_millis(1);
    plan.accounts[0].paid_tokens = paid_tokens;
    plan
}

/// Sends the load and counts its results.
///
/// # Errors
///
/// Fails when a VM is not running.
pub async fn send_load(
    fleet: &RunningFleet,
    plan: &LoadPlan,
    state: &LoadState,
    seed: u64,
) -> Result<LoadCounts> {
    let callers: Vec<Caller> =
        (0..fleet.vms.len()).map(|index| fleet.caller(index)).collect::<Result<_>>()?;
    let mut generator = RequestGenerator::new(seed);
    let interval = Duration::from_secs(1) / plan.requests_per_second;
    let request_count = (plan.duration.as_nanos() / interval.as_nanos()) as u32;
    let started_at = Instant::now();
    let mut counts = LoadCounts::default();
    let mut running = FuturesUnordered::new();
    for number in 0..request_count {
        let appraisal = generator.make_appraisal(MAX_OUTPUT_TOKENS);
        let data_centre = pick_weighted_index(&mut generator, &plan.weights);
        let vm_index = pick_vm(fleet, &mut generator, data_centre);
        let send_time = sleep_until(started_at + interval * number);
        tokio::pin!(send_time);
        loop {
            tokio::select! {
                () = &mut send_time => break,
                Some(result) = running.next(), if !running.is_empty() => {
                    count_response(fleet, state, &mut counts, result);
                }
            }
        }
        let caller = &callers[vm_index];
        running.push(async move {
            let response = caller.post(&appraisal.request).await;
            (data_centre, appraisal, response)
        });
    }
    while let Some(result) = running.next().await {
        count_response(fleet, state, &mut counts, result);
    }
    Ok(counts)
}

fn count_response(
    fleet: &RunningFleet,
    state: &LoadState,
    counts: &mut LoadCounts,
    (data_centre, appraisal, response): (usize, Appraisal, Result<CallerResponse>),
) {
    counts.requests += 1;
    match check_appraisal(&appraisal, &response) {
        ResponseCheck::Correct => counts.answered += 1,
        ResponseCheck::Truncated => counts.truncated_responses += 1,
        ResponseCheck::Mismatched => counts.mismatched_responses += 1,
        ResponseCheck::Failed => {
            let code = response.map(|response| response.result_code()).unwrap_or(0);
            if BUDGET_CODES.contains(&code) {
                count_refusal(fleet, state, counts, data_centre, &appraisal, code);
            } else {
                counts.other_failures += 1;
            }
        }
    }
}

fn count_refusal(
    fleet: &RunningFleet,
    state: &LoadState,
    counts: &mut LoadCounts,
    data_centre: usize,
    appraisal: &Appraisal,
    code: u16,
) {
    let worst_case_tokens = appraisal.request.body.len() as u64 + appraisal.output_tokens;
    let budget_id = fleet.plan.accounts[0].budget_id();
    let sums = sum_budgets(fleet).get(&budget_id).copied().unwrap_or_default();
    let claimed_tokens = sums.settled_tokens + sums.reserved_tokens;
    let paid_tokens = state.paid_tokens.load(Ordering::Relaxed);
    if paid_tokens.saturating_sub(claimed_tokens) < worst_case_tokens {
        counts.justified_refusals += 1;
        counts.settled_at_first_justified_refusal.get_or_insert(sums.settled_tokens);
    } else if state.is_partitioned.load(Ordering::Relaxed)
        && tokens_held_in(fleet, data_centre, &budget_id) < worst_case_tokens
    {
        counts.false_refusals_cut_off += 1;
    } else {
        counts.false_refusals_reachable += 1;
        let held_tokens = tokens_held_in(fleet, data_centre, &budget_id);
        counts.first_false_refusal.get_or_insert(format!(
            "code {code} after {} requests in {} for {worst_case_tokens} tokens, {held_tokens} held there, {sums:?}",
            counts.requests, fleet.plan.data_centres[data_centre].id
        ));
    }
}

fn tokens_held_in(fleet: &RunningFleet, data_centre: usize, budget_id: &str) -> Tokens {
    let indexes = (0..fleet.vms.len()).filter(|index| fleet.data_centre_of(*index) == data_centre);
    let contexts = indexes.filter_map(|index| fleet.vms[index].context().ok());
    contexts.map(|context| context.tables.lock_owner().account(budget_id).held_tokens).sum()
}

fn pick_weighted_index(generator: &mut RequestGenerator, weights: &[usize]) -> usize {
    let mut remaining = generator.random_below(weights.iter().sum());
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    0
}

fn pick_vm(fleet: &RunningFleet, generator: &mut RequestGenerator, data_centre: usize) -> usize {
    let indexes: Vec<usize> =
        (0..fleet.vms.len()).filter(|index| fleet.data_centre_of(*index) == data_centre).collect();
    indexes[generator.random_below(indexes.len())]
}

/// Adds the counts and the audit to a report.
pub fn report_load(
    fleet: &RunningFleet,
    counts: &LoadCounts,
    policy: BudgetPolicy,
    report: &mut ExperimentReport,
) {
    let mut audit = Audit::collect(fleet);
    audit.add(Invariant::CutAnswers, counts.truncated_responses);
    audit.add(Invariant::CrossedAnswers, counts.mismatched_responses);
    report.record_audit(&audit);
    report.policy = Some(format!("{policy:?}"));
    report.requests = counts.requests;
    report.answered = counts.answered;
    report.set("justified_refusals", counts.justified_refusals);
    report.set("false_refusals_reachable", counts.false_refusals_reachable);
    report.set("false_refusals_cut_off", counts.false_refusals_cut_off);
    report.set("first_false_refusal", counts.first_false_refusal.clone());
    report.set("other_failures", counts.other_failures);
    report.set("appends", fleet.platform.append_request_count());
    report.require(
        counts.false_refusals_reachable == 0,
        "no request is refused while enough tokens are reachable",
    );
}
