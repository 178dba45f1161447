//! `backend-leaving`: one engine is listed as leaving and another named so by a bundle, under load.

use std::time::Duration;

use eyre::Result;
use serde_json::json;
use tokio::time::Instant;

use super::open_load::{LoadPlan, send_load};
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
/// Requests a second.
const RATE: f64 = 20.0;
/// How long requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// When the first engine is listed as leaving.
const LISTED_AT: Duration = Duration::from_secs(2);
/// When a bundle names the second engine as leaving.
const PUSHED_AT: Duration = Duration::from_secs(5);
/// Time until the VM list shows a change.
const LIST_LAG: Duration = Duration::from_secs(1);
/// The longest that work may still begin after a leaving was published.
const LATE_WORK_BOUND: Duration = Duration::from_secs(3);
/// Time between two looks at the engines.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// What one leaving engine was seen to do.
#[derive(Debug, Clone, Copy, Default)]
struct LeavingWatch {
    published_at: Option<Instant>,
    begun_count: u64,
    last_work: Option<Duration>,
    late_count: u64,
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
        answer_tokens: 100,
        priorities: vec![(5, 1000)],
        accounts: vec![1000],
    };
    let (result, watches) =
        tokio::join!(send_load(&fleet, &load, options.seed), publish_and_watch(&fleet));
    let (result, watches) = (result?, watches?);

    let mut audit = Audit::collect(&fleet);
    let mut report = ExperimentReport::new("backend-leaving", options.seed);
    report.requests = result.all.sent;
    report.answered = result.all.answered;
    for (name, watch) in ["listed", "pushed"].into_iter().zip(watches) {
        audit.add(Invariant::LateWork, watch.late_count);
        let last_work_ms = watch.last_work.map(|time| time.as_millis() as u64);
        let figures = json!({
            "last_work_after_ms": last_work_ms,
            "running_at_publication": watch.running_at_publication,
        });
        report.set(name, figures);
        report.require(
            watch.running_at_publication > 0,
            format!("the {name} engine has work in progress when its leaving is published"),
        );
    }
    report.take_audit(&audit);
    report.require(report.answered == report.requests, "every request is answered whole");
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

async fn publish_and_watch(fleet: &RunningFleet) -> Result<[LeavingWatch; 2]> {
    fleet.platform.set_faults(|faults| faults.vm_list_lag = LIST_LAG);
    let mut watches = [LeavingWatch::default(); 2];
    let started = Instant::now();
    while started.elapsed() < LOAD_TIME {
        if watches[0].published_at.is_none() && started.elapsed() >= LISTED_AT {
            let engine = &fleet.engines[0];
            fleet.platform.publish_leaving(&engine.server_id, &fleet.plan.data_centres[0].id);
            watches[0].publish(fleet, 0);
        }
        if watches[1].published_at.is_none() && started.elapsed() >= PUSHED_AT {
            fleet.push(build_leaving_bundle(fleet)).await?;
            watches[1].publish(fleet, 1);
        }
        for (engine, watch) in watches.iter_mut().enumerate() {
            watch.look(fleet, engine);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    Ok(watches)
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

impl LeavingWatch {
    fn publish(&mut self, fleet: &RunningFleet, engine: usize) {
        let state = fleet.engines[engine].stand_in.lock();
        self.published_at = Some(Instant::now());
        self.running_at_publication = state.slots.running_count();
        self.begun_count = state.started_count;
    }

    fn look(&mut self, fleet: &RunningFleet, engine: usize) {
        let Some(published_at) = self.published_at else {
            return;
        };
        let begun_count = fleet.engines[engine].stand_in.lock().started_count;
        let new_count = begun_count - self.begun_count;
        self.begun_count = begun_count;
        if new_count == 0 {
            return;
        }
        let since = published_at.elapsed();
        self.last_work = Some(since);
        if since > LATE_WORK_BOUND {
            self.late_count += new_count;
        }
    }
}
