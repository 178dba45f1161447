//! Tests of servers that start during traffic and take few requests until they are warm.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use futures::future::join_all;
use http::Method;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    DRAFT_PATH, EVENT_INTERVAL, FleetPlan, StandInFleet,
};

const GATEWAY_COUNT: usize = 2;
const CALLERS: usize = 16;
/// How long a server is cold, and the requests a second that it takes meanwhile.
const WARM_UP: Duration = Duration::from_secs(6);
const PER_S: f64 = 2.0;
/// The most requests in any one second.
const MAX_IN_A_SECOND: usize = 8;
/// How long a change in the log service may take to become active, with a margin.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// How long requests are sent; less than the server is cold.
const SENDING_TIME: Duration = Duration::from_secs(3);
/// The most requests that a cold server may get in that time.
const MAX_AT_COLD: usize = 3 * MAX_IN_A_SECOND;
/// The server that starts again during traffic.
const COLD_ENGINE: usize = 3;

/// Sends requests for a time; returns how many were served, and how many of them by the engine that
/// starts again.
async fn send_for(fleet: &StandInFleet, name: &str, time: Duration) -> (usize, usize) {
    let begun_at = Instant::now();
    let callers = (0..CALLERS).map(|caller| async move {
        let mut served = 0;
        for number in 0.. {
            if begun_at.elapsed() >= time {
                break;
            }
            let id = format!("{name}-{caller}-{number}");
            let mut request = CallerRequest::plain(Method::POST, DRAFT_PATH);
            request.headers = vec![("prefix-hash", format!("a{id}:45,b{id}:45"))];
            let response = fleet.send(caller % GATEWAY_COUNT, &id, &request).await.unwrap();
            served += usize::from(response.status == 200);
        }
        served
    });
    let served = join_all(callers).await.into_iter().sum();
    let executed = fleet.engines[COLD_ENGINE].executed_requests();
    let at_cold = executed.iter().filter(|run| run.id().starts_with(name)).count();
    (served, at_cold)
}

// All gateways sent their next requests to a server that had just started, as it was idle.
#[tokio::test]
async fn server_that_starts_during_traffic_takes_few_requests_until_it_is_warm() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cold_servers");
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: GATEWAY_COUNT,
        engine_count: 4,
        plain_count: 0,
        paid_tokens: 100_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    let mut fleet = StandInFleet::start(program, &folder, plan).await.unwrap();
    fleet.set_warm_up(WARM_UP.as_secs_f64(), PER_S);
    tokio::time::sleep(PROPAGATION_TIME).await;

    let before = send_for(&fleet, "before", SENDING_TIME).await;
    fleet.set_engine_version(COLD_ENGINE, "v2");
    tokio::time::sleep(PROPAGATION_TIME).await;
    let cold = send_for(&fleet, "cold", SENDING_TIME).await;
    tokio::time::sleep(WARM_UP).await;
    let warm = send_for(&fleet, "warm", SENDING_TIME).await;

    println!("before {before:?}, cold {cold:?}, warm {warm:?}");
    assert!(before.1 > MAX_AT_COLD, "{before:?}");
    assert!((1..=MAX_AT_COLD).contains(&cold.1), "{cold:?}");
    assert!(2 * cold.0 > before.0, "{cold:?}, before {before:?}");
    assert!(warm.1 > MAX_AT_COLD, "{warm:?}");
}
