//! `backend-leaving`: under load, the VM list marks one engine as leaving and a bundle another.

use std::time::Duration;

use eyre::Result;
use serde_json::json;
use tokio::time::Instant;

use super::open_loop_load::{LoadPlan, send_load};
use super::options::ExperimentOptions;
use super::report::ExperimentReport;
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::audit::Audit;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;
use sassafrashoist_core::invariants::Invariant;

/// Engines of the data centre.
const ENGINE_COUNT: usize = 4;
/// Routers of the data centre.
const VM_COUNT: usize = 2;
/// Requests per second.
const RATE: f64 = 20.0;
/// How long requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// When the VM list marks the first engine as leaving.
const LISTED_AT: Duration = Duration::from_secs(2);
/// When a bundle marks the second engine as leaving.
const PUSHED_AT: Duration = Duration::from_secs(5);
/// Time until the VM list shows a change.
const LIST_LAG: Duration = Duration::from_secs(1);
/// The longest time after its publication as leaving that an engine may still start requests.
const MAX_START_AFTER_LEAVING: Duration = Duration::from_secs(3);
/// Time between two samples of the engines.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// The requests that one leaving engine started after its publication as leaving.
#[derive(Debug, Clone, Copy, Default)]
struct LeavingEngineMonitor {
    published_at: Option<Instant>,
    started_count: u64,
    last_start_after: Option<Duration>,
    late_start_count: u64,
    running_at_publication: usize,
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet cannot start or the bundle is refused.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentReport> {
    let fleet = RunningFleet::start(build_plan()).await?;
    let load = LoadPlan {
        rate: RATE,
        duration: LOAD_TIME,
        document_count: 20,
        output_tokens: 100,
        priorities: vec![(5, 1000)],
        accounts: vec![1000],
    };
    let (result, monitors) =
        tokio::join!(send_load(&fleet, &load, options.seed), publish_and_monitor(&fleet));
    let (result, monitors) = (result?, monitors?);

    let mut audit = Audit::collect(&fleet);
    let mut report = ExperimentReport::new("backend-leaving", options.seed);
    report.requests = result.all.sent;
    report.answered = result.all.answered;
    for (name, monitor) in ["listed", "pushed"].into_iter().zip(monitors) {
        audit.add(Invariant::LateWork, monitor.late_start_count);
        let last_start_ms = monitor.last_start_after.map(|time| time.as_millis() as u64);
        let figures = json!({
            "last_work_after_ms": last_start_ms,
            "running_at_publication": monitor.running_at_publication,
        });
        report.set(name, figures);
        report.require(
            monitor.running_at_publication > 0,
            format!("the {name} engine has requests in progress when it is published as leaving"),
        );
    }
    report.record_audit(&audit);
    report.require(report.answered == report.requests, "every request gets a complete response");
    Ok(report)
}

fn build_plan() -> FleetPlan {
    let engine = EngineSettings {
        step_time: Duration::from_millis(10),
        slot_count: 16,
        ..EngineSettings::default()
    };
    let mut plan = FleetPlan::new(&["plateau"], VM_COUNT, engine.clone());
    plan.data_centres[0].engines = vec![engine; ENGINE_COUNT];
    plan
}

async fn publish_and_monitor(fleet: &RunningFleet) -> Result<[LeavingEngineMonitor; 2]> {
    fleet.platform.set_faults(|faults| faults.vm_list_lag = LIST_LAG);
    let mut monitors = [LeavingEngineMonitor::default(); 2];
    let started = Instant::now();
    while started.elapsed() < LOAD_TIME {
        if monitors[0].published_at.is_none() && started.elapsed() >= LISTED_AT {
            let engine = &fleet.engines[0];
            fleet.platform.publish_leaving(&engine.server_id, &fleet.plan.data_centres[0].id);
            monitors[0].record_publication(fleet, 0);
        }
        if monitors[1].published_at.is_none() && started.elapsed() >= PUSHED_AT {
            fleet.push(build_leaving_bundle(fleet)).await?;
            monitors[1].record_publication(fleet, 1);
        }
        for (engine, monitor) in monitors.iter_mut().enumerate() {
            monitor.sample(fleet, engine);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    Ok(monitors)
}

fn build_leaving_bundle(fleet: &RunningFleet) -> sassafrashoist_bundle::bundle::Bundle {
    let mut bundle = fleet.build_bundle();
    bundle.version = 2;
    bundle.based_on_version = 1;
    let leaving_id = &fleet.engines[1].server_id;
    for server in &mut bundle.backend_servers {
        server.is_leaving = server.id == *leaving_id;
    }
    bundle
}

impl LeavingEngineMonitor {
    fn record_publication(&mut self, fleet: &RunningFleet, engine: usize) {
        let state = fleet.engines[engine].stand_in.lock();
        self.published_at = Some(Instant::now());
        self.running_at_publication = state.slots.running_count();
        self.started_count = state.started_count;
    }

    fn sample(&mut self, fleet: &RunningFleet, engine: usize) {
        let Some(published_at) = self.published_at else {
            return;
        };
        let started_count = fleet.engines[engine].stand_in.lock().started_count;
        let new_count = started_count - self.started_count;
        self.started_count = started_count;
        if new_count == 0 {
            return;
        }
        let elapsed = published_at.elapsed();
        self.last_start_after = Some(elapsed);
        if elapsed > MAX_START_AFTER_LEAVING {
            self.late_start_count += new_count;
        }
    }
}
