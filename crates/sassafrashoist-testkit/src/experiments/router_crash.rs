//! `router-crash`: routers crash with streams open and restart with empty memory; callers retry.
//!
//! The VMs that own the budget are not killed, because the budget experiments cover what a budget
//! owner loses. The policy `any` kills them too.

use std::time::Duration;

use eyre::{Result, bail};
use sassafrashoist_core::ids::VmId;

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
/// Time that a bid takes.
const BID_TIME: Duration = Duration::from_millis(60);
/// Time between two kills.
const KILL_INTERVAL: Duration = Duration::from_millis(400);
/// How long a killed router is down.
const DOWN_TIME: Duration = Duration::from_millis(250);
/// How callers retry.
const RETRY_POLICY: RetryPolicy = RetryPolicy {
    max_attempts: 40,
    time_limit: Duration::from_secs(12),
    honors_retry_after: false,
};

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet cannot start or the policy is unknown.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let kills_owners = match options.policy.as_deref() {
        None | Some("others") => false,
        Some("any") => true,
        Some(other) => bail!("unknown policy {other:?}; one of: others, any"),
    };
    let engine = EngineSettings { step_time: STEP_TIME, ..EngineSettings::default() };
    let mut plan = FleetPlan::new(&["plateau", "rufisque"], 3, engine.clone());
    plan.data_centres[0].engines = vec![engine.clone(); 2];
    plan.data_centres[1].engines = vec![engine; 2];
    let mut fleet = RunningFleet::start(plan).await?;
    for service in &fleet.services {
        service.stand_in.set_faults(|faults| faults.added_latency = BID_TIME);
    }
    let mut generator = RequestGenerator::new(options.seed);
    let requests = make_keyed_requests(&mut generator, REQUEST_COUNT, MAX_OUTPUT_TOKENS);
    let addresses = VmAddresses::default();
    for (index, vm) in fleet.vms.iter().enumerate() {
        addresses.set(index, Some(vm.caller_address()?));
    }
    let candidates = find_kill_candidates(&fleet, kills_owners)?;
    let caller = fleet.caller(0)?;

    let sending =
        send_keyed_requests(caller, addresses.clone(), requests.clone(), CONCURRENCY, RETRY_POLICY);
    let load = tokio::spawn(sending);
    let mut kill_count = 0_u64;
    while !load.is_finished() {
        tokio::time::sleep(KILL_INTERVAL).await;
        let killed_vm = candidates[generator.random_below(candidates.len())];
        fleet.vms[killed_vm].kill();
        addresses.set(killed_vm, None);
        kill_count += 1;
        tokio::time::sleep(DOWN_TIME).await;
        fleet.start_vm(killed_vm).await?;
        addresses.set(killed_vm, Some(fleet.vms[killed_vm].caller_address()?));
    }
    let results = load.await?;

    let mut report = ExperimentReport::new("router-crash", options.seed);
    report.policy = options.policy.clone();
    report.set("kills", kill_count);
    check_results(&fleet, &requests, &results, &mut report).await;
    let unknown = report.figures["unknown"].as_u64().unwrap_or_default();
    let is_accounted_for = report.answered + unknown == report.requests;
    report.require(
        is_accounted_for,
        "every request is answered, or its outcome is unknown as it must not run again",
    );
    Ok(report)
}

fn find_kill_candidates(fleet: &RunningFleet, kills_owners: bool) -> Result<Vec<usize>> {
    let context = fleet.vms[0].context()?;
    let budget_id = fleet.plan.accounts[0].budget_id();
    let owners: Vec<VmId> = fleet
        .plan
        .data_centres
        .iter()
        .filter_map(|data_centre| context.owner_vm(&data_centre.id, &budget_id))
        .collect();
    let is_candidate =
        |index: &usize| kills_owners || !owners.contains(&fleet.vms[*index].settings.vm_id);
    Ok((0..fleet.vms.len()).filter(is_candidate).collect())
}
