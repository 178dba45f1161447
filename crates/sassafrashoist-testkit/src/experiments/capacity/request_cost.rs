//! Processor time of a router per request and per token, and memory per request in flight.

use std::time::Duration;

use eyre::{Result, ensure};
use futures::stream::{self, StreamExt};

use super::super::report::ExperimentReport;
use super::linear_fit::{Point, fit_line};
use crate::child_router::ChildRouter;
use crate::client::caller::{Caller, CallerRequest};
use crate::engine::engine_settings::EngineSettings;
use crate::fleet::fleet_bundle::APPRAISAL_PATH;
use crate::fleet::fleet_plan::FleetPlan;
use crate::fleet::running_fleet::RunningFleet;

/// Tokens of each response.
const OUTPUT_TOKENS: [u64; 3] = [10, 100, 400];
/// Requests at each response length.
const REQUEST_COUNT: usize = 400;
/// Requests in progress at once while processor time is measured.
const CONCURRENCY: usize = 16;
/// Requests held open while memory is measured.
const IN_FLIGHT_COUNTS: [usize; 3] = [200, 400, 800];
/// Time that each held request takes.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time from sending the held requests until memory is read.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Measures processor time, then memory.
///
/// # Errors
///
/// Fails when the router does not become ready or a request is not answered.
pub async fn measure(report: &mut ExperimentReport) -> Result<()> {
    measure_cpu(report).await?;
    measure_memory(report).await
}

async fn measure_cpu(report: &mut ExperimentReport) -> Result<()> {
    let engine = EngineSettings {
        slot_count: CONCURRENCY,
        step_time: Duration::from_micros(500),
        ..EngineSettings::default()
    };
    let (fleet, router) = start_fleet(engine).await?;
    let caller = build_caller(&fleet, &router);
    let mut points = Vec::new();
    for tokens in OUTPUT_TOKENS {
        let before = router.stats()?.cpu_time;
        let answered = stream::iter(0..REQUEST_COUNT)
            .map(|index| send(&caller, index, tokens))
            .buffer_unordered(CONCURRENCY)
            .filter(|is_success| std::future::ready(*is_success))
            .count()
            .await;
        ensure!(answered == REQUEST_COUNT, "{answered} of {REQUEST_COUNT} requests were answered");
        report.requests += REQUEST_COUNT as u64;
        report.answered += answered as u64;
        let cpu_time = router.stats()?.cpu_time - before;
        let value = cpu_time.as_secs_f64() * 1e6 / REQUEST_COUNT as f64;
        points.push(Point { size: tokens as f64, value });
    }
    report.set("request_cpu_us_per_token", fit_line(&points));
    Ok(())
}

async fn measure_memory(report: &mut ExperimentReport) -> Result<()> {
    let mut points = Vec::new();
    for count in IN_FLIGHT_COUNTS {
        let engine =
            EngineSettings { slot_count: count, step_time: HOLD_TIME, ..EngineSettings::default() };
        let (fleet, router) = start_fleet(engine).await?;
        let caller = build_caller(&fleet, &router);
        let sending = async {
            let sends = (0..count).map(|index| send(&caller, index, 1));
            futures::future::join_all(sends).await
        };
        let reading = async {
            tokio::time::sleep(SETTLE_TIME).await;
            router.stats()
        };
        let (responses, stats) = tokio::join!(sending, reading);
        let answered = responses.iter().filter(|is_success| **is_success).count();
        ensure!(answered == count, "{answered} of {count} held requests were answered");
        report.requests += count as u64;
        report.answered += answered as u64;
        points.push(Point { size: count as f64, value: stats?.resident_bytes as f64 });
    }
    report.set("resident_bytes_per_request_in_flight", fit_line(&points));
    Ok(())
}

async fn start_fleet(engine: EngineSettings) -> Result<(RunningFleet, ChildRouter)> {
    let mut plan = FleetPlan::new(&["plateau"], 0, engine);
    plan.accounts[0].paid_tokens = 1_000_000_000;
    let fleet = RunningFleet::start(plan).await?;
    let settings = ChildRouter::plan("plateau-vm-1", "plateau", fleet.platform.address);
    let router = ChildRouter::start(settings)?;
    router.wait_ready().await?;
    Ok((fleet, router))
}

fn build_caller(fleet: &RunningFleet, router: &ChildRouter) -> Caller {
    Caller::new(router.settings.caller_address, &fleet.plan.accounts[0].caller_key())
}

async fn send(caller: &Caller, index: usize, tokens: u64) -> bool {
    let body = serde_json::json!({
        "model": "appraiser", "prompt": format!("lot {index}"),
        "max_tokens": tokens, "stream": true,
    });
    let request = CallerRequest {
        path: APPRAISAL_PATH.to_owned(),
        body: body.to_string(),
        ..CallerRequest::default()
    };
    caller.post(&request).await.is_ok_and(|response| response.is_complete)
}
