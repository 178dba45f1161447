//! `drain`: every router of the fleet is replaced in turn under load.

use std::time::Duration;

use eyre::Result;
use sassafrashoist_core::invariants::Invariant;

use super::load::RequestGenerator;
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use super::retrying_load::{check_results, make_keyed_requests, send_keyed_requests};
use crate::client::retrying_caller::{RetryPolicy, VmAddresses};
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;

/// Requests sent.
const REQUEST_COUNT: usize = 600;
/// Requests in progress at once.
const CONCURRENCY: usize = 24;
/// The most tokens of a response.
const MAX_OUTPUT_TOKENS: u64 = 120;
/// Time to generate one token.
const STEP_TIME: Duration = Duration::from_millis(4);
/// Time between two drains.
const DRAIN_INTERVAL: Duration = Duration::from_millis(200);
/// How callers retry.
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
    let engine = EngineSettings { step_time: STEP_TIME, ..EngineSettings::default() };
    let mut plan = FleetPlan::new(&["plateau", "rufisque"], 3, engine.clone());
    plan.data_centres[0].engines = vec![engine.clone(); 2];
    plan.data_centres[1].engines = vec![engine; 2];
    let mut fleet = RunningFleet::start(plan).await?;
    let mut generator = RequestGenerator::new(options.seed);
    let requests = make_keyed_requests(&mut generator, REQUEST_COUNT, MAX_OUTPUT_TOKENS);
    let addresses = VmAddresses::default();
    for (index, vm) in fleet.vms.iter().enumerate() {
        addresses.set(index, Some(vm.caller_address()?));
    }
    let drained_vms = find_non_owners(&fleet)?;
    let caller = fleet.caller(0)?;

    let sending =
        send_keyed_requests(caller, addresses.clone(), requests.clone(), CONCURRENCY, RETRY_POLICY);
    let load = tokio::spawn(sending);
    let mut drain_count = 0_u64;
    let mut drain_cut_count = 0;
    while !load.is_finished() {
        tokio::time::sleep(DRAIN_INTERVAL).await;
        let drained_vm = drained_vms[drain_count as usize % drained_vms.len()];
        let context = fleet.vms[drained_vm].context()?;
        fleet.vms[drained_vm].drain().await?;
        drain_cut_count += context.invariants.count(Invariant::DrainCuts);
        drain_count += 1;
        fleet.start_vm(drained_vm).await?;
        addresses.set(drained_vm, Some(fleet.vms[drained_vm].caller_address()?));
    }
    let results = load.await?;

    let mut report = ExperimentReport::new("drain", options.seed);
    report.set("drains", drain_count);
    let mut audit = check_results(&fleet, &requests, &results, &mut report).await;
    audit.add(Invariant::DrainCuts, drain_cut_count);
    report.record_audit(&audit);
    let unanswered_count = results.iter().filter(|result| !result.is_success()).count();
    report.require(unanswered_count == 0, "every request is answered");
    Ok(report)
}

/// Returns the VMs that do not own the budget; owners are not drained, so that the experiment does
/// not depend on the hand-over of their state.
fn find_non_owners(fleet: &RunningFleet) -> Result<Vec<usize>> {
    let context = fleet.vms[0].context()?;
    let budget_id = fleet.plan.accounts[0].budget_id();
    let is_owner = |index: &usize| {
        let settings = &fleet.vms[*index].settings;
        context.owner_vm(&settings.data_centre_id, &budget_id).as_ref() == Some(&settings.vm_id)
    };
    Ok((0..fleet.vms.len()).filter(|index| !is_owner(index)).collect())
}
