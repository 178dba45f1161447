//! `router-crash`: routers die with streams open and come back empty, and callers try again.
//!
//! The VMs that own the budget stay up: what becomes of an owner's memory is the subject of the
//! budgets' experiments. The policy `any` kills owners too.

use std::time::Duration;

use eyre::{Result, bail};
use sassafrashoist_core::ids::VmId;

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
/// Time that a bid takes.
const BID_TIME: Duration = Duration::from_millis(60);
/// Time between two kills.
const KILL_INTERVAL: Duration = Duration::from_millis(400);
/// How long a killed router is gone.
const DOWN_TIME: Duration = Duration::from_millis(250);
/// How callers go on.
const MANNER: RetryPolicy = RetryPolicy {
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
        Some(other) => bail!("no policy {other:?}; one of: others, any"),
    };
    let engine = EngineSettings { step_time: STEP_TIME, ..EngineSettings::default() };
    let mut plan = FleetPlan::new(&["plateau", "rufisque"], 3, engine.clone());
    plan.data_centres[0].engines = vec![engine.clone(); 2];
    plan.data_centres[1].engines = vec![engine; 2];
    let mut fleet = RunningFleet::start(plan).await?;
    for service in &fleet.services {
        service.stand_in.set_faults(|faults| faults.added_latency = BID_TIME);
    }
    let mut maker = RequestMaker::new(options.seed);
    let items = make_items(&mut maker, REQUEST_COUNT, MAX_ANSWER_TOKENS);
    let book = VmAddresses::default();
    for (index, vm) in fleet.vms.iter().enumerate() {
        book.set(index, Some(vm.caller_address()?));
    }
    let victims = find_victims(&fleet, kills_owners)?;
    let caller = fleet.caller(0)?;

    let sending = send_items(caller, book.clone(), items.clone(), CONCURRENCY, MANNER);
    let load = tokio::spawn(sending);
    let mut kill_count = 0_u64;
    while !load.is_finished() {
        tokio::time::sleep(KILL_INTERVAL).await;
        let victim = victims[maker.draw_below(victims.len())];
        fleet.vms[victim].kill();
        book.set(victim, None);
        kill_count += 1;
        tokio::time::sleep(DOWN_TIME).await;
        fleet.start_vm(victim).await?;
        book.set(victim, Some(fleet.vms[victim].caller_address()?));
    }
    let tries = load.await?;

    let mut report = ExperimentReport::new("router-crash", options.seed);
    report.policy = options.policy.clone();
    report.set("kills", kill_count);
    check_items(&fleet, &items, &tries, &mut report).await;
    let unknown = report.figures["unknown"].as_u64().unwrap_or_default();
    let is_known = report.answered + unknown == report.requests;
    report.require(is_known, "every request is answered, or unknown where it may not run again");
    Ok(report)
}

fn find_victims(fleet: &RunningFleet, kills_owners: bool) -> Result<Vec<usize>> {
    let context = fleet.vms[0].context()?;
    let budget_id = fleet.plan.accounts[0].budget_id();
    let owners: Vec<VmId> = fleet
        .plan
        .data_centres
        .iter()
        .filter_map(|data_centre| context.owner_vm(&data_centre.id, &budget_id))
        .collect();
    let is_victim =
        |index: &usize| kills_owners || !owners.contains(&fleet.vms[*index].settings.vm_id);
    Ok((0..fleet.vms.len()).filter(is_victim).collect())
}
