use sassafrashoist_testkit::client::caller::{Caller, CallerRequest, CallerResponse};
use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::audit::sum_budgets;
use sassafrashoist_testkit::fleet::fleet_bundle::{APPRAISAL_PATH, BID_PATH};
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;

async fn start_fleet() -> RunningFleet {
    let plan = FleetPlan::new(&["plateau"], 1, EngineSettings::default());
    RunningFleet::start(plan).await.unwrap()
}

fn post(path: &str, body: &str) -> CallerRequest {
    CallerRequest { path: path.to_owned(), body: body.to_owned(), ..CallerRequest::default() }
}

fn assert_refused(response: &CallerResponse, status: u16, code: u16) {
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(response.status, status);
    assert_eq!(response.result_code(), code);
    assert_eq!(response.outcome(), "not-run");
    assert_eq!(body["code"], code);
    assert!(!response.request_id().is_empty());
}

fn assert_nothing_charged(fleet: &RunningFleet) {
    let sums = sum_budgets(fleet)["fippu-budget"];
    assert_eq!((sums.settled_tokens, sums.reserved_tokens), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_with_their_codes_and_charge_nothing() {
    let fleet = start_fleet().await;
    let caller = fleet.caller(0).unwrap();
    let stranger = Caller::new(fleet.vms[0].caller_address().unwrap(), "wrong-key");
    let large = "x".repeat(1024 * 1024 + 1);
    let keyed =
        |key: &str| CallerRequest { idempotency_key: Some(key.into()), ..post(BID_PATH, "{}") };
    let with_header = |name, value: &str| CallerRequest {
        headers: vec![(name, value.to_owned())],
        ..post(APPRAISAL_PATH, "{}")
    };

    let wrong_key = stranger.post(&post(APPRAISAL_PATH, "{}")).await.unwrap();
    let unknown_route = caller.post(&post("/nowhere", "{}")).await.unwrap();
    let oversized = caller.post(&post(APPRAISAL_PATH, &large)).await.unwrap();
    let malformed = caller.post(&post(APPRAISAL_PATH, "{")).await.unwrap();
    let missing_key = caller.post(&post(BID_PATH, "{}")).await.unwrap();
    let long_key = caller.post(&keyed(&"k".repeat(129))).await.unwrap();
    let bad_number = caller.post(&with_header("x-max-tokens", "many")).await.unwrap();
    let bad_priority = caller.post(&with_header("x-priority", "10")).await.unwrap();
    let wrong_method = caller.get(BID_PATH).await.unwrap();

    assert_refused(&wrong_key, 401, 4001);
    assert_refused(&unknown_route, 404, 4002);
    assert_refused(&oversized, 413, 4003);
    assert_refused(&malformed, 400, 4004);
    assert_refused(&missing_key, 400, 4005);
    assert_refused(&long_key, 400, 4006);
    assert_refused(&bad_number, 400, 4007);
    assert_refused(&bad_priority, 400, 4007);
    assert_refused(&wrong_method, 405, 4009);
    assert_nothing_charged(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_request_with_a_used_key_and_another_body_is_refused() {
    let fleet = start_fleet().await;
    let caller = fleet.caller(0).unwrap();
    let bid =
        |body: &str| CallerRequest { idempotency_key: Some("k".into()), ..post(BID_PATH, body) };
    caller.post(&bid("{\"lot\":1}")).await.unwrap();

    let response = caller.post(&bid("{\"lot\":2}")).await.unwrap();

    assert_refused(&response, 422, 4008);
}
