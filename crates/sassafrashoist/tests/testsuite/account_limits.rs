use std::time::Duration;

use futures::future::join_all;
use sassafrashoist_bundle::account::AccountLimits;
use sassafrashoist_testkit::client::caller::{CallerRequest, CallerResponse};
use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::audit::sum_budgets;
use sassafrashoist_testkit::fleet::fleet_bundle::APPRAISAL_PATH;
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

use super::waiting::wait_until;

const STEP_TIME: Duration = Duration::from_millis(20);

async fn start_fleet(limits: AccountLimits) -> RunningFleet {
    let engine = EngineSettings { step_time: STEP_TIME, ..EngineSettings::default() };
    let fleet =
        RunningFleet::start_without_bundle(FleetPlan::new(&["plateau"], 1, engine)).await.unwrap();
    let mut bundle = fleet.build_bundle();
    bundle.client_accounts[0].limits = limits;
    fleet.push(bundle).await.unwrap();
    let account = fleet.plan.accounts[0].clone();
    fleet.top_up(&account, "first", account.paid_tokens).await.unwrap();
    fleet.wait_ready(1).await.unwrap();
    fleet
}

fn appraisal(number: usize, token_count: u64) -> CallerRequest {
    let body = serde_json::json!({
        "model": "appraiser", "prompt": format!("lot {number}"), "max_tokens": token_count,
        "stream": true,
    });
    CallerRequest {
        path: APPRAISAL_PATH.into(),
        body: body.to_string(),
        ..CallerRequest::default()
    }
}

fn assert_limited(response: &CallerResponse, code: u16) {
    assert_eq!((response.status, response.result_code()), (429, code));
    assert_eq!(response.outcome(), "not-run");
    assert!(response.header("retry-after").parse::<u64>().unwrap() >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn account_with_too_many_requests_in_progress_waits_its_turn() {
    let fleet =
        start_fleet(AccountLimits { max_requests_in_flight: 2, ..AccountLimits::default() }).await;
    let caller = fleet.caller(0).unwrap();
    let in_progress: Vec<_> = (0..2)
        .map(|number| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.post(&appraisal(number, 50)).await })
        })
        .collect();
    let have_started = || fleet.engines[0].stand_in.lock().started_count == 2;
    wait_until("both requests have started", have_started).await;

    let refused = caller.post(&appraisal(2, 1)).await.unwrap();
    let responses = join_all(in_progress).await;
    let in_flight = || fleet.vms[0].context().unwrap().drain_gate.in_flight_count();
    wait_until("nothing is in progress", || in_flight() == 0).await;
    let served = caller.post(&appraisal(3, 1)).await.unwrap();

    assert_limited(&refused, 5101);
    assert!(responses.into_iter().all(|response| response.unwrap().unwrap().is_complete));
    assert_eq!(served.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn account_with_too_many_tokens_in_progress_is_refused_and_charged_nothing() {
    let fleet =
        start_fleet(AccountLimits { max_tokens_in_flight: 100, ..AccountLimits::default() }).await;
    let caller = fleet.caller(0).unwrap();

    let refused = caller.post(&appraisal(1, 500)).await.unwrap();

    assert_limited(&refused, 5102);
    let sums = sum_budgets(&fleet)["fippu-budget"];
    assert_eq!((sums.settled_tokens, sums.reserved_tokens), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn account_that_sends_faster_than_its_rate_is_told_when_to_come_back() {
    let fleet =
        start_fleet(AccountLimits { max_requests_per_second: 1, ..AccountLimits::default() }).await;
    let caller = fleet.caller(0).unwrap();
    let calls: Vec<_> = (0..8).map(|number| appraisal(number, 1)).collect();

    let responses = join_all(calls.iter().map(|call| caller.post(call))).await;

    let refused: Vec<_> =
        responses.iter().flatten().filter(|response| response.status != 200).collect();
    assert!(!refused.is_empty());
    refused.iter().for_each(|response| assert_limited(response, 5103));
}
