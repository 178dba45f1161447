//! Tests of the number of connections that the callers of a gateway keep open.
//!
//! Each caller that came back on a new connection and kept it took memory and a descriptor, until the
//! process ended for lack of one of them with the requests of all connections.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use futures::future::join_all;
use http::Method;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::raw_answer::RawAnswer;
use sassafrashoist_platform_stand_in::raw_caller::RawCaller;
use sassafrashoist_platform_stand_in::raw_server::{RawResponse, RawServer};
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    BID_PATH, EVENT_INTERVAL, FleetPlan, IDLE_TIMEOUT, STATUS_PATH, StandInFleet,
};
use tokio::sync::Mutex;

/// Held by the test that measures: several at once would take the processor time of the others.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
/// The callers that keep their connections.
const CALLER_COUNT: usize = 3_000;
/// How many of them connect at the same time.
const WAVE_COUNT: usize = 100;
/// The callers with a request in progress meanwhile.
const BUSY_COUNT: usize = 24;
/// How long their requests run.
const RUN_TIME: Duration = Duration::from_secs(15);
/// The timeout of all requests.
const TIMEOUT: Duration = Duration::from_secs(40);
/// How long a caller waits for an answer that is to come at once.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long a change in the log service may take to become active.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// Time between two readings of memory and descriptors.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ANSWER: &str = "HTTP/1.1 200 OK\r\nupstream-signature: s\r\ncontent-length: 2\r\n\r\nok";

/// What was seen while the callers kept their connections.
#[derive(Debug)]
struct Seen {
    peak_bytes: u64,
    peak_descriptors: usize,
    busy_answers: Vec<RawAnswer>,
    answers: Vec<RawAnswer>,
    later_status: u16,
}

fn request(method: Method, path: &str) -> CallerRequest {
    CallerRequest { timeout: TIMEOUT, ..CallerRequest::plain(method, path) }
}

/// Starts a gateway with a setting, and a server at which bids run for [`RUN_TIME`].
async fn start(name: &str, setting: &str) -> (StandInFleet, RawServer) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("connection_bounds").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: 1,
        engine_count: 0,
        plain_count: 0,
        paid_tokens: 1_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    let mut fleet = StandInFleet::start(program, &folder, plan).await.unwrap();
    let server = RawServer::start(|request| {
        let delay = if request.head.contains(BID_PATH) { RUN_TIME } else { Duration::ZERO };
        RawResponse { writes: vec![(delay, ANSWER.to_owned())], ..RawResponse::default() }
    })
    .await
    .unwrap();
    for index in 0..4 {
        fleet.list_server("desk", &format!("desk-{index}"), server.address);
    }
    fleet.change_timeouts(TIMEOUT, TIMEOUT.max(IDLE_TIMEOUT));
    fleet.gateways[0].add_setting(setting).unwrap();
    fleet.gateways[0].reload_settings().await.unwrap();
    tokio::time::sleep(PROPAGATION_TIME).await;
    (fleet, server)
}

/// Opens a connection, on which a request is answered.
async fn call(fleet: &StandInFleet, id: String) -> (RawCaller, RawAnswer) {
    let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
    // A connection that is refused may be closed before the request is written.
    caller.write(&request(Method::GET, STATUS_PATH).encode(&id)).await.ok();
    let answer = caller.read_answer_until_silent(PATIENCE).await;
    (caller, answer)
}

/// Begins requests on kept connections, then opens many connections that are kept.
async fn keep_connections(fleet: &StandInFleet) -> Seen {
    let mut busy = Vec::new();
    for index in 0..BUSY_COUNT {
        let (mut caller, answer) = call(fleet, format!("first{index}")).await;
        assert_eq!(answer.status(), Some(200), "{answer:?}");
        caller.write(&request(Method::POST, BID_PATH).encode(&format!("b{index}"))).await.unwrap();
        busy.push(caller);
    }
    let busy =
        tokio::spawn(async move { join_all(busy.iter_mut().map(RawCaller::read_answer)).await });
    let (mut kept, mut answers) = (Vec::new(), Vec::new());
    let (mut peak_bytes, mut peak_descriptors) = (0, 0);
    let connect = async {
        for wave in 0..CALLER_COUNT / WAVE_COUNT {
            let calls = (0..WAVE_COUNT).map(|index| call(fleet, format!("k{wave}-{index}")));
            for (caller, answer) in join_all(calls).await {
                kept.push(caller);
                answers.push(answer);
            }
        }
        busy.await.unwrap()
    };
    let measure = async {
        loop {
            let gateway = &fleet.gateways[0];
            peak_bytes = u64::max(peak_bytes, gateway.anonymous_bytes().unwrap());
            peak_descriptors =
                usize::max(peak_descriptors, gateway.open_descriptor_count().unwrap());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let busy_answers = tokio::select! {
        busy_answers = connect => busy_answers,
        () = measure => unreachable!(),
    };
    let later = fleet.send(0, "later", &request(Method::GET, STATUS_PATH)).await.unwrap();
    Seen { peak_bytes, peak_descriptors, busy_answers, answers, later_status: later.status }
}

/// Checks that requests in progress were answered, and all others served or refused.
fn assert_answered(seen: &Seen) {
    let count = |status| seen.answers.iter().filter(|a| a.status() == Some(status)).count();
    println!(
        "{} bytes, {} descriptors, {} served, {} refused",
        seen.peak_bytes,
        seen.peak_descriptors,
        count(200),
        count(503)
    );
    for answer in &seen.busy_answers {
        assert_eq!(answer.status(), Some(200), "{answer:?}");
    }
    for answer in &seen.answers {
        let is_refused = answer.status() == Some(503) && answer.header("retry-after").is_some();
        assert!(answer.status() == Some(200) || is_refused, "{answer:?}");
    }
    let ends_connection = |answer: &RawAnswer| answer.header("connection") == Some("close");
    assert!(seen.answers.iter().any(ends_connection), "no answer ends its connection");
    assert!(count(200) >= CALLER_COUNT / 2, "{} served", count(200));
    assert_eq!(seen.later_status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_connections_do_not_exceed_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let memory_mb = 56;
    let (fleet, _server) = start("memory", &format!("limits.memoryMb={memory_mb}")).await;

    let seen = keep_connections(&fleet).await;

    assert_answered(&seen);
    assert!(seen.peak_bytes < memory_mb * 1_024 * 1_024, "{} bytes", seen.peak_bytes);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_connections_do_not_exceed_the_descriptors() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let max_descriptors = 900;
    let (fleet, _server) = start("descriptors", &format!("limits.maxFds={max_descriptors}")).await;

    let seen = keep_connections(&fleet).await;

    assert_answered(&seen);
    // Of the descriptors, 200 are reserved for files.
    assert!(seen.peak_descriptors < max_descriptors - 200, "{}", seen.peak_descriptors);
}

// New callers waited in the backlog of the listener until they gave up; then their requests were read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_beyond_the_limit_of_connections_are_turned_away_at_once() {
    let _alone = ONE_AT_A_TIME.lock().await;
    // A VM keeps 64 connections however few descriptors it has.
    let (fleet, _server) = start("turned_away", "limits.maxFds=400").await;
    let bid = request(Method::POST, BID_PATH);
    let mut busy = Vec::new();
    for index in 0..64 {
        let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
        caller.write(&bid.encode(&format!("busy{index}"))).await.unwrap();
        busy.push(caller);
    }

    let began_at = Instant::now();
    let turned_away = join_all((0..24).map(|index| call(&fleet, format!("more{index}")))).await;
    let took = began_at.elapsed();
    let log = fleet.gateways[0].read_log().unwrap();

    let busy_answers = join_all(busy.iter_mut().map(RawCaller::read_answer)).await;
    let later = fleet.send(0, "later", &request(Method::GET, STATUS_PATH)).await.unwrap();
    for (_, answer) in &turned_away {
        assert_eq!(answer.status(), Some(503), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
    }
    assert!(took < Duration::from_millis(500), "{took:?}");
    assert!(log.contains("more callers than this VM can serve"), "{log}");
    for answer in &busy_answers {
        assert_eq!(answer.status(), Some(200), "{answer:?}");
    }
    assert_eq!(later.status, 200);
    // The callers have no other VM.
    assert_eq!(fleet.gateways[0].readiness_status().await, 200);
}
