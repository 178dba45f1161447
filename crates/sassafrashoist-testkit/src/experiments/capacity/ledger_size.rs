//! Memory, processor time and start-up time of a router by the number of topped-up budgets.

use std::collections::BTreeMap;

use eyre::Result;

use super::super::report::ExperimentReport;
use super::linear_fit::{Point, fit_line};
use crate::child_router::ChildRouter;
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;
use sassafrashoist_core::budgets::record::{LedgerEvent, LedgerRecord};
use sassafrashoist_platform::streams::LEDGER_STREAM;

/// Budgets in the ledger, each topped up once.
const BUDGET_COUNTS: [usize; 3] = [5_000, 10_000, 20_000];
/// Tokens of each top-up.
const TOP_UP_TOKENS: u64 = 1_000_000;

/// Measures a router that reads the whole ledger at its start.
///
/// # Errors
///
/// Fails when a router does not become ready.
pub async fn measure(report: &mut ExperimentReport) -> Result<()> {
    let mut memory = Vec::new();
    let mut cpu = Vec::new();
    let mut start = Vec::new();
    let mut read = Vec::new();
    for count in BUDGET_COUNTS {
        let plan = FleetPlan::new(&["plateau"], 0, EngineSettings::default());
        let fleet = RunningFleet::start_without_bundle(plan).await?;
        fleet.push(fleet.build_bundle()).await?;
        fleet.platform.preload(LEDGER_STREAM, (0..count).map(encode_top_up).collect());
        let read_before = fleet.platform.read_bytes();
        let router =
            ChildRouter::start(ChildRouter::plan("vm-1", "plateau", fleet.platform.address))?;
        let start_time = router.wait_ready().await?;
        let stats = router.stats()?;
        let size = count as f64;
        memory.push(Point { size, value: stats.resident_bytes as f64 });
        cpu.push(Point { size, value: stats.cpu_time.as_secs_f64() * 1e6 });
        start.push(Point { size, value: start_time.as_secs_f64() * 1e6 });
        let read_bytes = fleet.platform.read_bytes() - read_before;
        read.push(Point { size, value: read_bytes as f64 });
    }
    report.set("resident_bytes_per_budget", fit_line(&memory));
    report.set("start_cpu_us_per_budget", fit_line(&cpu));
    report.set("start_time_us_per_budget", fit_line(&start));
    report.set("start_read_bytes_per_budget", fit_line(&read));
    Ok(())
}

fn encode_top_up(index: usize) -> Vec<u8> {
    let record = LedgerRecord::new(LedgerEvent::TopUp {
        top_up_id: format!("top-up-{index}"),
        budget_id: format!("budget-{index}"),
        paid_tokens: TOP_UP_TOKENS,
        split_tokens: BTreeMap::from([("plateau".to_owned(), TOP_UP_TOKENS)]),
        operator_id: "awa".to_owned(),
    });
    serde_json::to_vec(&record).unwrap_or_default()
}
