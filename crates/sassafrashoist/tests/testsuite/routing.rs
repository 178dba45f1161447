//! Routing under failures: full, cut-off and leaving backend servers.

use std::time::Duration;

use sassafrashoist_testkit::client::caller::CallerRequest;
use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::fleet_bundle::APPRAISAL_PATH;
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

/// Long enough for a router to read the VM list, or to miss three load reports.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn start_fleet(engine_count: usize, slot_count: usize) -> RunningFleet {
    let engine = EngineSettings {
        slot_count,
        step_time: Duration::from_millis(20),
        ..EngineSettings::default()
    };
    let mut plan = FleetPlan::new(&["plateau"], 1, engine.clone());
    plan.data_centres[0].engines = vec![engine; engine_count];
    RunningFleet::start(plan).await.unwrap()
}

fn appraisal(tokens: u64, key: Option<&str>, timeout_ms: u64) -> CallerRequest {
    let body = format!(r#"{{"model":"appraiser","prompt":"lot 1","max_tokens":{tokens}}}"#);
    CallerRequest {
        path: APPRAISAL_PATH.to_owned(),
        body,
        idempotency_key: key.map(str::to_owned),
        headers: vec![("x-timeout-ms", timeout_ms.to_string())],
    }
}

fn started_counts(fleet: &RunningFleet) -> Vec<u64> {
    fleet.engines.iter().map(|engine| engine.stand_in.lock().started_count).collect()
}

async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, waiting).await.expect("condition did not hold in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_gets_no_slot_is_told_not_run_and_when_to_return() {
    let fleet = start_fleet(1, 1).await;
    let caller = fleet.caller(0).unwrap();
    let long = appraisal(150, None, 10_000);
    let running = tokio::spawn({
        let caller = caller.clone();
        async move { caller.post(&long).await.unwrap() }
    });
    wait_until(|| started_counts(&fleet)[0] == 1).await;

    let refused = caller.post(&appraisal(1, None, 10_000)).await.unwrap();

    assert_eq!((refused.status, refused.result_code()), (503, 6001));
    assert_eq!(refused.outcome(), "not-run");
    assert!(refused.header("retry-after").parse::<u64>().unwrap() >= 1);
    assert_eq!(running.await.unwrap().status, 200);
    assert_eq!(started_counts(&fleet), [1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_that_gets_no_slot_gets_the_response_of_the_first_attempt() {
    let fleet = start_fleet(1, 1).await;
    let caller = fleet.caller(0).unwrap();
    let call = appraisal(100, Some("once"), 10_000);
    let first = tokio::spawn({
        let (caller, call) = (caller.clone(), call.clone());
        async move { caller.post(&call).await.unwrap() }
    });
    wait_until(|| started_counts(&fleet)[0] == 1).await;

    let retry = caller.post(&call).await.unwrap();

    let first = first.await.unwrap();
    assert_eq!((first.status, retry.status), (200, 200));
    assert_eq!(first.text, retry.text);
    assert_eq!(started_counts(&fleet), [1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn server_that_is_cut_off_is_ejected_without_losing_a_request() {
    let fleet = start_fleet(2, 8).await;
    let caller = fleet.caller(0).unwrap();
    fleet.engines[0].link.set_cut(true);
    let context = fleet.vms[0].context().unwrap();
    let cut_id = fleet.engines[0].server_id.clone();
    wait_until(|| {
        let breaker = context.tables.lock_routing().breaker_state(&cut_id);
        breaker.is_some_and(|state| !format!("{state:?}").starts_with("Closed"))
    })
    .await;

    let response = caller.post(&appraisal(1, None, 10_000)).await.unwrap();

    assert_eq!(response.status, 200);
    assert_eq!(started_counts(&fleet), [0, 1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_finishes_its_work_and_gets_no_more() {
    let fleet = start_fleet(1, 8).await;
    let caller = fleet.caller(0).unwrap();
    let running = tokio::spawn({
        let caller = caller.clone();
        async move { caller.post(&appraisal(150, None, 10_000)).await.unwrap() }
    });
    wait_until(|| started_counts(&fleet)[0] == 1).await;
    let server_id = fleet.engines[0].server_id.clone();
    fleet.platform.publish_leaving(&server_id, "plateau");
    let context = fleet.vms[0].context().unwrap();
    wait_until(|| {
        let routing = context.tables.lock_routing();
        routing.server(&server_id).is_some_and(|server| server.leaving_since.is_some())
    })
    .await;

    let refused = caller.post(&appraisal(1, None, 10_000)).await.unwrap();

    assert_eq!((refused.result_code(), refused.outcome()), (6002, "not-run"));
    assert!(running.await.unwrap().is_complete);
    assert_eq!(started_counts(&fleet), [1]);
}
