//! Tests of what a request is charged whose caller leaves before this VM has read of its run.
//!
//! A server may have begun to run it, and what it sent may be on its way, or wait in the buffers of a VM
//! that stands still (incident BUDGET). A request that no server has begun to run costs nothing.

use std::path::{Path, PathBuf};
use std::time::Duration;

use http::Method;
use sassafrashoist_platform_stand_in::backend_server::RUN_TIME_HEADER;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::http_listener::PathFault;
use sassafrashoist_platform_stand_in::raw_caller::RawCaller;
use sassafrashoist_platform_stand_in::raw_server::{RawRequest, RawResponse, RawServer};
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    BID_PATH, CHAT_PATH, DRAFT_PATH, ENGINE_POOL, EVENT_COUNT, EVENT_INTERVAL, FleetPlan,
    ROUTE_TIMEOUT, STATUS_PATH, StandInFleet, TOKENS_PER_EVENT,
};

use crate::waiting::wait_until;

const PROMPT_TOKENS: u64 = 90;
const OUTPUT_TOKENS: u64 = EVENT_COUNT * TOKENS_PER_EVENT;
/// The requests whose callers leave.
const LEAVING_COUNT: u64 = 8;
/// The requests that the account pays for.
const PAID_COUNT: u64 = 12;
const PAID_TOKENS: u64 = PAID_COUNT * (PROMPT_TOKENS + OUTPUT_TOKENS);
/// Later requests that the account pays for if all whose callers left have read their prompts.
const LEFT_COUNT: u64 =
    (PAID_TOKENS - LEAVING_COUNT * PROMPT_TOKENS) / (PROMPT_TOKENS + OUTPUT_TOKENS);
/// How long a server reads the prompts of requests whose callers leave.
const TIME_TO_FIRST_EVENT: Duration = Duration::from_millis(700);
/// How long callers stay.
const STAY_TIME: Duration = Duration::from_millis(400);
/// The longest time until the tokens of a request are settled whose caller left, with a margin.
const SETTLING_TIME: Duration = Duration::from_millis(800);

async fn start(name: &str, gateway_count: usize) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("uncharged_runs").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count,
        engine_count: 2,
        plain_count: 2,
        paid_tokens: PAID_TOKENS,
        has_own_paths: gateway_count > 1,
        event_interval: EVENT_INTERVAL,
    };
    let fleet = StandInFleet::start(program, &folder, plan).await.unwrap();
    // A gateway whose configuration may be too old after a stall serves nothing.
    fleet.gateways[0].add_setting("bounds.configApplyMs=60000").unwrap();
    fleet.gateways[0].reload_settings().await.unwrap();
    fleet
}

fn model_request(path: &str) -> CallerRequest {
    CallerRequest {
        timeout: ROUTE_TIMEOUT,
        ..CallerRequest::to_model(path, PROMPT_TOKENS, OUTPUT_TOKENS)
    }
}

/// Returns a request of which servers send nothing for [`TIME_TO_FIRST_EVENT`].
fn slow_request(path: &str) -> CallerRequest {
    let mut request = model_request(path);
    if path == STATUS_PATH {
        request.method = Method::GET;
    }
    request.headers = vec![(RUN_TIME_HEADER, TIME_TO_FIRST_EVENT.as_millis().to_string())];
    request
}

/// Connects callers that send a request each, and waits until all have reached a server.
async fn send_leaving(fleet: &StandInFleet, request: &CallerRequest) -> Vec<RawCaller> {
    let mut callers = Vec::new();
    for number in 0..LEAVING_COUNT {
        let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
        caller.write(&request.encode(&format!("left-{number}"))).await.unwrap();
        callers.push(caller);
    }
    let has_arrived = |number| fleet.runs_of(&format!("left-{number}")).len() == 1;
    wait_until("requests are at servers", || (0..LEAVING_COUNT).all(has_arrived)).await;
    callers
}

fn leave(callers: Vec<RawCaller>) {
    callers.into_iter().for_each(|caller| caller.reset().unwrap());
}

/// Sends requests until the account is used up; returns how many were served.
async fn use_up(fleet: &StandInFleet) -> u64 {
    let mut served = 0;
    for number in 0..200 {
        let request = model_request(CHAT_PATH);
        let response = fleet.send(0, &format!("later-{number}"), &request).await.unwrap();
        match response.status {
            200 => served += 1,
            402 => return served,
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    served
}

/// Returns the requests whose callers left that servers have begun to run, by the events that were sent.
fn begun_count(fleet: &StandInFleet) -> u64 {
    let has_begun = |number: &u64| {
        fleet.runs_of(&format!("left-{number}")).iter().any(|run| run.sent_event_count() > 0)
    };
    (0..LEAVING_COUNT).filter(has_begun).count() as u64
}

/// Lets the gateway stand still while servers begin to run its requests and its callers leave.
async fn stand_still_while_servers_answer(fleet: &StandInFleet, path: &str) {
    let callers = send_leaving(fleet, &slow_request(path)).await;
    fleet.gateways[0].set_paused(true).unwrap();
    tokio::time::sleep(STAY_TIME).await;
    leave(callers);
    tokio::time::sleep(TIME_TO_FIRST_EVENT).await;
    fleet.gateways[0].set_paused(false).unwrap();
    tokio::time::sleep(SETTLING_TIME).await;
}

// Guards against review/1: the end of the caller and the first event wait beside each other.
#[tokio::test]
async fn runs_that_began_while_the_vm_stood_still_are_charged() {
    for path in [CHAT_PATH, DRAFT_PATH] {
        let fleet = start(&format!("stalled{}", path.replace('/', "_")), 1).await;

        stand_still_while_servers_answer(&fleet, path).await;
        let served = use_up(&fleet).await;

        assert_eq!((begun_count(&fleet), served), (LEAVING_COUNT, LEFT_COUNT), "{path}");
    }
}

// The response of a server that does not stream tells only at its end that it has read the prompt.
#[tokio::test]
async fn plain_requests_that_ran_while_the_vm_stood_still_are_charged() {
    for path in [STATUS_PATH, BID_PATH] {
        let fleet = start(&format!("plain{}", path.replace(['/', '?', '='], "_")), 1).await;

        stand_still_while_servers_answer(&fleet, path).await;
        let served = use_up(&fleet).await;

        assert!(served <= LEFT_COUNT, "{path}: {served}");
    }
}

// The other VM passes the first event on while this one stands still.
#[tokio::test]
async fn runs_through_another_vm_that_began_while_this_one_stood_still_are_charged() {
    let fleet = start("carried", 2).await;
    fleet.set_path_fault(0, PathFault::RefusesNew);

    stand_still_while_servers_answer(&fleet, CHAT_PATH).await;
    let begun = begun_count(&fleet);
    fleet.set_path_fault(0, PathFault::None);
    let served = use_up(&fleet).await;

    assert_eq!(begun, LEAVING_COUNT);
    assert!(served <= LEFT_COUNT, "{served}");
}

// What callers leave before it runs must not cost them anything.
#[tokio::test]
async fn requests_whose_callers_left_before_their_runs_cost_nothing() {
    for (name, gateway_count) in [("before", 1), ("before_carried", 2)] {
        let fleet = start(name, gateway_count).await;
        if gateway_count > 1 {
            fleet.set_path_fault(0, PathFault::RefusesNew);
        }

        let callers = send_leaving(&fleet, &slow_request(CHAT_PATH)).await;
        leave(callers);
        tokio::time::sleep(SETTLING_TIME).await;
        let begun = begun_count(&fleet);
        if gateway_count > 1 {
            fleet.set_path_fault(0, PathFault::None);
        }
        let served = use_up(&fleet).await;

        assert_eq!((begun, served), (0, PAID_COUNT), "{name}");
    }
}

/// Starts a server that sends its first event [`STAY_TIME`] after a request whose caller leaves, and
/// does not notice that the connection ends.
async fn start_engine_that_answers_as_the_caller_leaves() -> RawServer {
    let respond = |request: &RawRequest| {
        let is_leaving = request.header("request-id").is_some_and(|id| id.starts_with("left"));
        let delay = if is_leaving { STAY_TIME } else { Duration::ZERO };
        let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nupstream-signature: raw\r\n\
                    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let events: String =
            (1..=EVENT_COUNT).map(|event| format!("id: {event}\ndata: x\n\n")).collect();
        let body = format!("{:x}\r\n{events}\r\n0\r\n\r\n", events.len());
        RawResponse { writes: vec![(delay, format!("{head}{body}"))], ..RawResponse::default() }
    };
    RawServer::start(respond).await.unwrap()
}

// A single event is enough that is on its way when the caller leaves.
#[tokio::test]
async fn runs_whose_first_event_is_on_its_way_when_the_caller_leaves_are_charged() {
    let mut fleet = start("on_its_way", 1).await;
    let server = start_engine_that_answers_as_the_caller_leaves().await;
    let engine_ids: Vec<_> = fleet.engines.iter().map(|engine| engine.id.clone()).collect();
    engine_ids.iter().for_each(|id| fleet.unlist_server(id));
    fleet.engines.clear();
    fleet.list_server(ENGINE_POOL, "raw", server.address);
    tokio::time::sleep(SETTLING_TIME).await;

    let mut leaving = Vec::new();
    for number in 0..LEAVING_COUNT {
        let address = fleet.gateways[0].caller_address;
        let mut caller = RawCaller::connect(address).await.unwrap();
        caller.write(&model_request(CHAT_PATH).encode(&format!("left-{number}"))).await.unwrap();
        leaving.push(caller);
    }
    tokio::time::sleep(STAY_TIME).await;
    leave(leaving);
    tokio::time::sleep(SETTLING_TIME).await;
    let served = use_up(&fleet).await;

    assert_eq!(served, LEFT_COUNT);
}
