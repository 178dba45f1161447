//! Memory and processor time of a router by the size of its bundle.

use eyre::Result;

use super::super::report::ExperimentReport;
use super::linear_fit::{Point, fit_line};
use crate::child_router::ChildRouter;
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::fleet_plan::{AccountPlan, FleetPlan};
use crate::fleet::running_fleet::RunningFleet;
use sassafrashoist_bundle::backend_server::{BackendServer, BackendServerKind};
use sassafrashoist_bundle::bundle::Bundle;
use sassafrashoist_bundle::route::Route;

/// Client accounts, each with one budget.
const ACCOUNT_COUNTS: [usize; 3] = [500, 1_000, 2_000];
/// Backend servers.
const SERVER_COUNTS: [usize; 3] = [100, 200, 400];
/// Routes.
const ROUTE_COUNTS: [usize; 3] = [100, 200, 400];

/// Measures each kind of bundle entry.
///
/// # Errors
///
/// Fails when a router does not become ready.
pub async fn measure(report: &mut ExperimentReport) -> Result<()> {
    measure_kind(report, "client_account_and_budget", &ACCOUNT_COUNTS, |_, _| {}).await?;
    measure_kind(report, "backend_server", &SERVER_COUNTS, add_servers).await?;
    measure_kind(report, "route", &ROUTE_COUNTS, add_routes).await
}

async fn measure_kind(
    report: &mut ExperimentReport,
    kind: &str,
    counts: &[usize],
    extend: fn(&mut Bundle, usize),
) -> Result<()> {
    let mut memory = Vec::new();
    let mut cpu = Vec::new();
    for count in counts {
        let mut plan = FleetPlan::new(&["plateau"], 0, EngineSettings::default());
        if kind == "client_account_and_budget" {
            plan.accounts = (0..*count).map(plan_account).collect();
        }
        let fleet = RunningFleet::start_without_bundle(plan).await?;
        let mut bundle = fleet.build_bundle();
        extend(&mut bundle, *count);
        fleet.push(bundle).await?;
        let router =
            ChildRouter::start(ChildRouter::plan("vm-1", "plateau", fleet.platform.address))?;
        router.wait_for_state_value("/bundle_version", 1).await?;
        let stats = router.stats()?;
        let size = *count as f64;
        memory.push(Point { size, value: stats.resident_bytes as f64 });
        cpu.push(Point { size, value: stats.cpu_time.as_secs_f64() * 1e6 });
    }
    report.set(&format!("resident_bytes_per_{kind}"), fit_line(&memory));
    report.set(&format!("start_cpu_us_per_{kind}"), fit_line(&cpu));
    Ok(())
}

fn plan_account(index: usize) -> AccountPlan {
    AccountPlan { id: format!("account-{index}"), paid_tokens: 0, split_weights: Vec::new() }
}

fn add_servers(bundle: &mut Bundle, count: usize) {
    for index in 0..count {
        bundle.backend_servers.push(BackendServer {
            id: format!("extra-engine-{index}"),
            data_centre_id: "plateau".to_owned(),
            pool_id: "engines".to_owned(),
            address: bundle.backend_servers[0].address,
            kind: BackendServerKind::Engine {
                model_ids: vec!["appraiser".to_owned()],
                slot_count: 16,
                checks_fencing: true,
            },
            is_leaving: false,
        });
    }
}

fn add_routes(bundle: &mut Bundle, count: usize) {
    for index in 0..count {
        bundle.routes.push(Route {
            id: format!("extra-{index}"),
            path: format!("/extra/{index}"),
            ..bundle.routes[0].clone()
        });
    }
}
