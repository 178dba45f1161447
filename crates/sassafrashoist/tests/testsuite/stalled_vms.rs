//! Tests of a VM that stands still for a time, as one does that is suspended or has no processor time.
//!
//! What arrives meanwhile waits in the buffers of the kernel: connections, whole requests and the ends
//! of their callers' streams.

use std::collections::BTreeSet;
use std::time::Duration;

use http::Method;
use sassafrashoist_platform_stand_in::backend_server::BackendServer;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::raw_caller::RawCaller;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    BID_PATH, CHAT_PATH, DRAFT_PATH, ROUTE_TIMEOUT, STATUS_PATH, StandInFleet,
};

use crate::fleet_fixture::start_one_gateway;
use crate::waiting::wait_until;

/// The callers of each kind of request.
const CALLER_COUNT: usize = 24;
/// How long the VM stands still.
const STALL_TIMES: [Duration; 2] = [Duration::from_millis(1_200), Duration::from_millis(3_200)];
/// The longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(10);

/// Starts a gateway whose configuration is not too old to serve by after a stall.
async fn start(name: &str) -> StandInFleet {
    let fleet = start_one_gateway("stalled_vms", name, 10_000_000).await;
    fleet.gateways[0].add_setting("bounds.configApplyMs=60000").unwrap();
    fleet.gateways[0].reload_settings().await.unwrap();
    fleet
}

fn request_of_each_kind() -> [(&'static str, CallerRequest); 4] {
    let stream =
        |path| CallerRequest { timeout: ROUTE_TIMEOUT, ..CallerRequest::to_model(path, 90, 10) };
    let plain = |method, path| CallerRequest {
        timeout: ROUTE_TIMEOUT,
        ..CallerRequest::plain(method, path)
    };
    [
        ("status", plain(Method::GET, STATUS_PATH)),
        ("bid", plain(Method::POST, BID_PATH)),
        ("draft", stream(DRAFT_PATH)),
        ("chat", stream(CHAT_PATH)),
    ]
}

/// Connects callers that send a whole request each.
async fn connect_callers(fleet: &StandInFleet, name: &str) -> Vec<RawCaller> {
    let mut callers = Vec::new();
    for (kind, request) in request_of_each_kind() {
        for index in 0..CALLER_COUNT {
            let address = fleet.gateways[0].caller_address;
            let mut caller = RawCaller::connect(address).await.unwrap();
            caller.write(&request.encode(&format!("{name}-{kind}-{index}"))).await.unwrap();
            callers.push(caller);
        }
    }
    callers
}

/// Returns whether the gateway has ended all requests of this name. A bid goes on without its caller, so
/// that it has ended only once it was answered or not sent.
fn has_ended_all(fleet: &StandInFleet, name: &str) -> bool {
    let log = fleet.gateways[0].read_log().unwrap();
    let ended_without_caller = |line: &&str| {
        line.contains("caller left before its request was sent")
            || line.contains("request answered")
            || line.contains("caller left its stream")
            || (line.contains("caller left before its answer") && !line.contains("-bid-"))
    };
    let ended: BTreeSet<_> = log
        .lines()
        .filter(ended_without_caller)
        .filter_map(|line| line.split('"').find(|part| part.starts_with(&format!("{name}-"))))
        .collect();
    ended.len() == CALLER_COUNT * request_of_each_kind().len()
}

/// Returns the requests of this name that have reached a server.
fn arrived(fleet: &StandInFleet, name: &str) -> BTreeSet<String> {
    let servers = fleet.engines.iter().chain(&fleet.plain_servers);
    let runs = servers.flat_map(BackendServer::executed_requests);
    runs.map(|run| run.id().to_owned()).filter(|id| id.starts_with(name)).collect()
}

// The ends of the callers' streams lay in the buffers beside their requests, and were taken for those
// of callers that send no more.
#[tokio::test]
async fn requests_whose_callers_left_while_the_vm_stood_still_reach_no_server() {
    let fleet = start("left").await;
    for stall_time in STALL_TIMES {
        let name = format!("left{}", stall_time.as_millis());
        fleet.gateways[0].set_paused(true).unwrap();
        let callers = connect_callers(&fleet, &name).await;
        drop(callers);
        tokio::time::sleep(stall_time).await;

        fleet.gateways[0].set_paused(false).unwrap();
        wait_until("all requests have ended", || has_ended_all(&fleet, &name)).await;

        let arrived = arrived(&fleet, &name);
        assert!(arrived.is_empty(), "{} arrived: {arrived:?}", arrived.len());
    }
}

// A caller that is asked whether it is still there must not lose its answer.
#[tokio::test]
async fn callers_that_send_no_more_are_answered_after_the_vm_stood_still() {
    let fleet = start("half_closed").await;
    fleet.gateways[0].set_paused(true).unwrap();
    let mut callers = connect_callers(&fleet, "stay").await;
    for caller in &mut callers {
        caller.close_writing().await.unwrap();
    }
    tokio::time::sleep(STALL_TIMES[0]).await;

    fleet.gateways[0].set_paused(false).unwrap();

    for (index, caller) in callers.iter_mut().enumerate() {
        let answer = tokio::time::timeout(PATIENCE, caller.read_answer()).await.unwrap();
        assert_eq!(answer.status(), Some(200), "caller {index}: {:?} {}", answer.end, answer.head);
    }
}

// Nobody may wait for a response that is not written because its caller was asked.
#[tokio::test]
async fn callers_that_stay_are_answered_after_the_vm_stood_still() {
    let fleet = start("stay").await;
    fleet.gateways[0].set_paused(true).unwrap();
    let mut callers = connect_callers(&fleet, "stay").await;
    tokio::time::sleep(STALL_TIMES[0]).await;

    fleet.gateways[0].set_paused(false).unwrap();

    for (index, caller) in callers.iter_mut().enumerate() {
        let answer = tokio::time::timeout(PATIENCE, caller.read_answer()).await.unwrap();
        assert_eq!(answer.status(), Some(200), "caller {index}: {:?} {}", answer.end, answer.head);
    }
}
