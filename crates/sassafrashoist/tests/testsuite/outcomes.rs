use std::time::Duration;

use sassafrashoist_core::ids::VmId;
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_testkit::client::caller::{CallerRequest, CallerResponse};
use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::engine::response_tokens::response_text;
use sassafrashoist_testkit::fleet::audit::{Audit, BudgetSums, sum_budgets};
use sassafrashoist_testkit::fleet::fleet_bundle::{APPRAISAL_PATH, BID_PATH};
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan;
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;
use sassafrashoist_testkit::tcp_link::LinkFaults;

use super::waiting::wait_until;

const PROMPT: &str = "lot 21, dimb, two flitches";
const SLOT_COUNT: usize = 32;
const STEP_TIME: Duration = Duration::from_millis(10);

/// Starts a fleet whose engines have enough slots that one router's share of them holds all
/// requests of a test.
async fn start_fleet(vm_count: usize, engine_count: usize) -> RunningFleet {
    let engine = EngineSettings {
        step_time: STEP_TIME,
        slot_count: SLOT_COUNT,
        ..EngineSettings::default()
    };
    let mut plan = FleetPlan::new(&["plateau"], vm_count, engine.clone());
    plan.data_centres[0].engines = vec![engine; engine_count];
    RunningFleet::start(plan).await.unwrap()
}

fn appraisal(token_count: u64, is_stream: bool, key: Option<&str>) -> CallerRequest {
    let body = serde_json::json!({
        "model": "appraiser", "prompt": PROMPT, "max_tokens": token_count, "stream": is_stream,
    });
    CallerRequest {
        path: APPRAISAL_PATH.into(),
        body: body.to_string(),
        idempotency_key: key.map(str::to_owned),
        ..CallerRequest::default()
    }
}

fn bid(key: &str) -> CallerRequest {
    CallerRequest {
        path: BID_PATH.into(),
        body: r#"{"lot":21,"amount_xof":90000}"#.into(),
        idempotency_key: Some(key.to_owned()),
        ..CallerRequest::default()
    }
}

/// Returns the index of a VM that does not own the budget and of the VM that does.
fn find_non_owner_and_owner(fleet: &RunningFleet) -> (usize, usize) {
    let context = fleet.vms[0].context().unwrap();
    let owner: VmId = context.owner_vm(&"plateau".into(), "fippu-budget").unwrap();
    let is_owner = |index: &usize| fleet.vms[*index].settings.vm_id == owner;
    let owner_index = (0..fleet.vms.len()).find(is_owner).unwrap();
    let other_index = (0..fleet.vms.len()).find(|index| !is_owner(index)).unwrap();
    (other_index, owner_index)
}

fn started_count(fleet: &RunningFleet) -> u64 {
    fleet.engines.iter().map(|engine| engine.stand_in.lock().started_count).sum()
}

fn generated_tokens(fleet: &RunningFleet) -> u64 {
    fleet.engines.iter().map(|engine| engine.stand_in.lock().generated_tokens).sum()
}

fn sums(fleet: &RunningFleet) -> BudgetSums {
    sum_budgets(fleet).get("fippu-budget").copied().unwrap_or_default()
}

fn assert_whole(response: &CallerResponse, token_count: u64) {
    assert_eq!((response.status, response.is_complete), (200, true), "{response:?}");
    assert_eq!(response.text, response_text(PROMPT, token_count));
}

fn assert_clean(fleet: &RunningFleet) {
    let audit = Audit::collect(fleet);
    assert!(audit.is_clean(), "{:?}", audit.violations);
}

async fn assert_resumed_after_kill(is_stream: bool) {
    let mut fleet = start_fleet(2, 1).await;
    let (killed, survivor) = find_non_owner_and_owner(&fleet);
    let call = appraisal(60, is_stream, Some("k-1"));
    let caller = fleet.caller(killed).unwrap();
    let first_call = call.clone();
    let first = tokio::spawn(async move { caller.post(&first_call).await });
    wait_until("tokens are generated", || generated_tokens(&fleet) >= 10).await;

    fleet.vms[killed].kill();
    let second = fleet.caller(survivor).unwrap().post(&call).await.unwrap();
    let third = fleet.caller(survivor).unwrap().post(&call).await.unwrap();

    assert!(first.await.unwrap().map_or(true, |response| !response.is_complete));
    assert_whole(&second, 60);
    assert_eq!(third.result_code(), 1001);
    assert_eq!(third.body, second.body);
    assert_eq!(started_count(&fleet), 1);
    assert_eq!(sums(&fleet).settled_tokens, second.used_tokens);
    assert_eq!(sums(&fleet).reserved_tokens, 0);
    assert_clean(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_killed_router_is_resumed_by_another_vm() {
    assert_resumed_after_kill(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_stream_of_a_killed_router_is_resumed_by_another_vm() {
    assert_resumed_after_kill(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bid_of_a_killed_router_is_unknown_and_never_runs_again() {
    let mut fleet = start_fleet(2, 1).await;
    let (killed, survivor) = find_non_owner_and_owner(&fleet);
    fleet.services[0]
        .stand_in
        .set_faults(|faults| faults.added_latency = Duration::from_millis(400));
    let caller = fleet.caller(killed).unwrap();
    let first = tokio::spawn(async move { caller.post(&bid("b-1")).await });
    wait_until("the bid has run", || fleet.services[0].stand_in.execution_count("fippu/b-1") == 1)
        .await;

    fleet.vms[killed].kill();
    let second = fleet.caller(survivor).unwrap().post(&bid("b-1")).await.unwrap();

    assert!(first.await.unwrap().map_or(true, |response| response.status != 200));
    assert_eq!((second.result_code(), second.outcome()), (7001, "unknown"));
    assert_eq!(fleet.services[0].stand_in.execution_count("fippu/b-1"), 1);
    assert_eq!(sums(&fleet).reserved_tokens, 10);
    assert_clean(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn bid_whose_response_is_lost_is_unknown_and_never_runs_again() {
    let fleet = start_fleet(2, 1).await;
    fleet.services[0].stand_in.set_faults(|faults| faults.lost_responses = 1);

    let first = fleet.caller(0).unwrap().post(&bid("b-1")).await.unwrap();
    let second = fleet.caller(1).unwrap().post(&bid("b-1")).await.unwrap();
    let state = fleet.caller(1).unwrap().get("/v1/requests/b-1").await.unwrap();

    assert_eq!((first.result_code(), first.outcome()), (7001, "unknown"));
    assert_eq!((second.result_code(), second.outcome()), (7001, "unknown"));
    assert!(String::from_utf8_lossy(&state.body).contains("unknown"));
    assert_eq!(fleet.services[0].stand_in.execution_count("fippu/b-1"), 1);
    assert_eq!(sums(&fleet).reserved_tokens, 10);
    assert_clean(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn response_of_another_request_never_reaches_the_caller() {
    let fleet = start_fleet(1, 1).await;
    fleet.services[0].stand_in.set_faults(|faults| faults.mismatched_responses = 1);

    let crossed = fleet.caller(0).unwrap().post(&bid("b-1")).await.unwrap();
    let own = fleet.caller(0).unwrap().post(&bid("b-2")).await.unwrap();

    assert_eq!((crossed.result_code(), crossed.outcome()), (7001, "unknown"));
    assert!(!String::from_utf8_lossy(&crossed.body).contains("accepted"));
    assert_eq!(own.status, 200);
    assert_clean(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_crashed_engine_goes_on_from_another_engine() {
    let fleet = start_fleet(1, 2).await;
    let caller = fleet.caller(0).unwrap();
    let pending = tokio::spawn(async move { caller.post(&appraisal(60, true, None)).await });
    wait_until("tokens are generated", || generated_tokens(&fleet) >= 10).await;

    let runner = fleet.engines.iter().find(|engine| engine.stand_in.lock().generated_tokens > 0);
    runner.unwrap().stand_in.crash();
    let response = pending.await.unwrap().unwrap();

    assert_whole(&response, 60);
    assert_eq!(started_count(&fleet), 2);
    assert_eq!(sums(&fleet).settled_tokens, response.used_tokens);
    assert_eq!(sums(&fleet).reserved_tokens, 0);
    assert_clean(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn model_work_of_a_caller_that_is_gone_is_stopped_and_billed() {
    let fleet = start_fleet(1, 1).await;
    let caller = fleet.caller(0).unwrap();
    let pending = tokio::spawn(async move { caller.post(&appraisal(500, true, None)).await });
    wait_until("tokens are generated", || generated_tokens(&fleet) >= 5).await;

    pending.abort();
    wait_until("nothing is reserved", || sums(&fleet).reserved_tokens == 0).await;
    let generated_at_stop = generated_tokens(&fleet);
    tokio::time::sleep(STEP_TIME * 5).await;

    assert!(generated_tokens(&fleet) <= generated_at_stop + 1);
    assert!(generated_at_stop < 500);
    assert!(sums(&fleet).settled_tokens >= 5);
    assert_clean(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn bid_of_a_caller_that_is_gone_is_finished_and_its_response_stored() {
    let fleet = start_fleet(1, 1).await;
    let service = &fleet.services[0].stand_in;
    service.set_faults(|faults| faults.added_latency = Duration::from_millis(150));
    let caller = fleet.caller(0).unwrap();
    let pending = tokio::spawn(async move { caller.post(&bid("b-1")).await });
    wait_until("the bid has run", || service.execution_count("fippu/b-1") == 1).await;

    pending.abort();
    let response = fleet.caller(0).unwrap().post(&bid("b-1")).await.unwrap();

    assert_eq!((response.status, response.result_code()), (200, 1001));
    assert_eq!(service.execution_count("fippu/b-1"), 1);
    assert_clean(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_gets_the_response_of_the_running_first_request() {
    let fleet = start_fleet(2, 1).await;
    let call = appraisal(40, true, Some("k-1"));
    let (first_caller, second_caller) = (fleet.caller(0).unwrap(), fleet.caller(1).unwrap());

    let (first, second) = tokio::join!(first_caller.post(&call), second_caller.post(&call));
    let (first, second) = (first.unwrap(), second.unwrap());

    assert_whole(&first, 40);
    assert_eq!(first.body, second.body);
    assert_eq!(started_count(&fleet), 1);
    assert_clean(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_under_load_cuts_no_request() {
    let mut fleet = start_fleet(2, 1).await;
    let caller = fleet.caller(0).unwrap();
    let admin_address = fleet.vms[0].admin_address().unwrap();
    let load: Vec<_> = (0..12)
        .map(|_| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.post(&appraisal(50, true, None)).await })
        })
        .collect();
    wait_until("all requests have started", || started_count(&fleet) == 12).await;
    let context = fleet.vms[0].context().unwrap();

    let late = async {
        wait_until("the drain has started", || context.drain_gate.is_draining()).await;
        let ready = caller.with_address(admin_address).get("/ready").await.unwrap();
        (ready, caller.post(&appraisal(1, true, None)).await.unwrap())
    };
    let (drained, (ready, refused)) = tokio::join!(fleet.vms[0].drain(), late);
    drained.unwrap();

    for request in load {
        assert_whole(&request.await.unwrap().unwrap(), 50);
    }
    assert_eq!((ready.status, ready.body.as_ref()), (503, b"draining\n".as_slice()));
    assert_eq!((refused.result_code(), refused.outcome()), (6004, "not-run"));
    assert_eq!(context.invariants.counts()["drain_cuts"], 0);
    assert_clean(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_two_engines_is_quarantined_and_its_neighbours_are_served() {
    let poison = r#"{"model":"appraiser","prompt":"poison lot","max_tokens":5,"stream":true}"#;
    let engine = EngineSettings {
        step_time: STEP_TIME,
        crash_marker: Some("poison".into()),
        ..EngineSettings::default()
    };
    let mut plan = FleetPlan::new(&["plateau"], 2, engine.clone());
    plan.data_centres[0].engines = vec![engine; 4];
    let fleet = RunningFleet::start(plan).await.unwrap();
    let poison_call = CallerRequest {
        path: APPRAISAL_PATH.into(),
        body: poison.into(),
        ..CallerRequest::default()
    };
    let neighbours: Vec<_> = (0..8)
        .map(|number| {
            let caller = fleet.caller(number % 2).unwrap();
            let call = appraisal(30 + number as u64, true, None);
            tokio::spawn(async move { caller.post(&call).await })
        })
        .collect();
    wait_until("all requests have started", || started_count(&fleet) == 8).await;

    let first = fleet.caller(0).unwrap().post(&poison_call).await.unwrap();
    let second = fleet.caller(1).unwrap().post(&poison_call).await.unwrap();

    let crashed =
        fleet.engines.iter().filter(|engine| engine.stand_in.lock().incarnation > 0).count();
    assert_eq!(crashed, 2);
    assert_eq!((first.result_code(), first.outcome()), (7004, "unknown"));
    assert_eq!((second.result_code(), second.outcome()), (7004, "not-run"));
    for (number, neighbour) in neighbours.into_iter().enumerate() {
        assert_whole(&neighbour.await.unwrap().unwrap(), 30 + number as u64);
    }
    assert_clean(&fleet);
}

// A response that may be incomplete must not be replayed with the length of what arrived.
#[tokio::test(flavor = "multi_thread")]
async fn response_without_framing_is_forwarded_without_framing_and_not_stored() {
    let fleet = start_fleet(1, 1).await;
    let service = &fleet.services[0].stand_in;
    service.set_faults(|faults| faults.close_delimited_responses = 1);
    let caller = fleet.caller(0).unwrap();

    let first = caller.post(&bid("b-1")).await.unwrap();
    let second = caller.post(&bid("b-1")).await.unwrap();

    assert_eq!((first.status, first.is_complete, first.is_aborted), (200, false, false));
    assert!(String::from_utf8_lossy(&first.body).contains("accepted"), "{first:?}");
    assert_eq!(second.result_code(), ResultCode::AnswerNotKept.number(), "{second:?}");
    assert_eq!(service.execution_count("fippu/b-1"), 1);
    assert_eq!(sums(&fleet).reserved_tokens, 0);
    assert_clean(&fleet);
}

// An owner that freezes after it has admitted a bid leaves an entry that names the asking VM.
#[tokio::test(flavor = "multi_thread")]
async fn bid_whose_admission_was_lost_with_its_owner_runs_once_and_is_served() {
    let mut fleet = start_fleet(2, 1).await;
    let (asking, owner) = find_non_owner_and_owner(&fleet);
    let link = fleet.peer_links[&(asking, owner)].clone();
    link.set_faults(LinkFaults { is_backward_cut: true, ..LinkFaults::default() });

    let caller = fleet.caller(asking).unwrap();
    let bidding = tokio::spawn(async move { caller.post(&bid("b-1")).await });
    let context = fleet.vms[asking].context().unwrap();
    wait_until("the asking VM owns the entry", || {
        context.tables.lock_owner().entry("fippu/b-1").is_some()
    })
    .await;
    fleet.vms[owner].kill();
    let response = bidding.await.unwrap().unwrap();

    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(fleet.services[0].stand_in.execution_count("fippu/b-1"), 1);
    assert_eq!(sums(&fleet).reserved_tokens, 0);
    assert_clean(&fleet);
}
