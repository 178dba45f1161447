//! Tests of a VM that stands still for a time, as one does that is suspended or has no processor time.
//!
//! What arrives meanwhile waits in the buffers of the kernel: connections, whole requests and the ends
//! of their callers' streams.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use http::Method;
use sassafrashoist_platform_stand_in::backend_server::BackendServer;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::raw_caller::RawCaller;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    BID_PATH, CHAT_PATH, DRAFT_PATH, EVENT_INTERVAL, FleetPlan, ROUTE_TIMEOUT, STATUS_PATH,
    StandInFleet,
};

/// The callers of each kind of request.
const CALLER_COUNT: usize = 24;
/// How long the VM stands still.
const STALL_TIMES: [Duration; 2] = [Duration::from_millis(1_200), Duration::from_millis(3_200)];
/// The time after which nothing of the requests is in progress any more.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// The longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(10);

async fn start(name: &str) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("stalled_vms").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: 1,
        engine_count: 2,
        plain_count: 2,
        paid_tokens: 10_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    StandInFleet::start(program, &folder, plan).await.unwrap()
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
        tokio::time::sleep(SETTLE_TIME).await;

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
