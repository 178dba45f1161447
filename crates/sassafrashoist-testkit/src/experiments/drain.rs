//! `drain`: every router of the fleet is replaced in turn under load.

use std::time::Duration;

use eyre::Result;
use sassafrashoist_core::invariants::Invariant;

use super::load::RequestMaker;
use super::options::ExperimentOptions;
use super::outcome_load::{check_items, make_items, send_items};
use super::report::ExperimentReport;
use crate::client::retrying_caller::{RetryPolicy, VmAddresses};
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;

/// Requests sent.
const REQUEST_COUNT: usize = 600;
/// Requests in progress at once.
const CONCURRENCY: usize = 24;
/// The most tokens of an answer.
const MAX_ANSWER_TOKENS: u64 = 120;
/// Time to make one token.
const STEP_TIME: Duration = Duration::from_millis(4);
/// Time between two drains.
const DRAIN_INTERVAL: Duration = Duration::from_millis(200);
/// How callers go on.
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
    let engine = EngineSettings { step_time: STEP_TIME, ..EngineSettings::default() };
    let mut plan = FleetPlan::new(&["plateau", "rufisque"], 3, engine.clone());
    plan.data_centres[0].engines = vec![engine.clone(); 2];
    plan.data_centres[1].engines = vec![engine; 2];
    let mut fleet = RunningFleet::start(plan).await?;
    let mut maker = RequestMaker::new(options.seed);
    let items = make_items(&mut maker, REQUEST_COUNT, MAX_ANSWER_TOKENS);
    let book = VmAddresses::default();
    for (index, vm) in fleet.vms.iter().enumerate() {
        book.set(index, Some(vm.caller_address()?));
    }
    let victims = find_drained(&fleet)?;
    let caller = fleet.caller(0)?;

    let sending = send_items(caller, book.clone(), items.clone(), CONCURRENCY, MANNER);
    let load = tokio::spawn(sending);
    let mut drain_count = 0_u64;
    let mut cut_count = 0;
    while !load.is_finished() {
        tokio::time::sleep(DRAIN_INTERVAL).await;
        let victim = victims[drain_count as usize % victims.len()];
        let context = fleet.vms[victim].context()?;
        fleet.vms[victim].drain().await?;
        cut_count += context.invariants.count(Invariant::DrainCuts);
        drain_count += 1;
        fleet.start_vm(victim).await?;
        book.set(victim, Some(fleet.vms[victim].caller_address()?));
    }
    let tries = load.await?;

    let mut report = ExperimentReport::new("drain", options.seed);
    report.set("drains", drain_count);
    let mut audit = check_items(&fleet, &items, &tries, &mut report).await;
    audit.add(Invariant::DrainCuts, cut_count);
    report.take_audit(&audit);
    let broken = tries.iter().filter(|tries| !tries.is_success()).count();
    report.require(broken == 0, "every request is answered");
    Ok(report)
}

/// Returns the VMs that do not own the budget; an owner's state is handed over by the budgets' part.
fn find_drained(fleet: &RunningFleet) -> Result<Vec<usize>> {
    let context = fleet.vms[0].context()?;
    let budget_id = fleet.plan.accounts[0].budget_id();
    let is_owner = |index: &usize| {
        let settings = &fleet.vms[*index].settings;
        context.owner_vm(&settings.data_centre_id, &budget_id).as_ref() == Some(&settings.vm_id)
    };
    Ok((0..fleet.vms.len()).filter(|index| !is_owner(index)).collect())
}
