//! Tests of the memory of a gateway under bodies and events without end, and under long request
//! bodies.
//!
//! Each request was bounded, but not their sum: some hundred callers of a faulty server, or 17 callers
//! with long bodies, made the process exceed the memory of its VM, which ends all its requests.

use std::path::{Path, PathBuf};
use std::time::Duration;

use futures::future::join_all;
use http::Method;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::endless_server::EndlessServer;
use sassafrashoist_platform_stand_in::raw_answer::RawAnswer;
use sassafrashoist_platform_stand_in::raw_caller::RawCaller;
use sassafrashoist_platform_stand_in::raw_server::{RawResponse, RawServer};
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    BID_PATH, CHAT_PATH, DRAFT_PATH, EVENT_COUNT, EVENT_INTERVAL, FleetPlan, IDLE_TIMEOUT,
    ROUTE_TIMEOUT, STATUS_PATH, StandInFleet, TOKENS_PER_EVENT,
};
use tokio::sync::Mutex;

/// Held by the test that measures memory: several at once would take the processor time of the others.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
/// The memory of the VM, in megabytes.
const MEMORY_MB: u64 = 110;
/// The memory above which the process is killed.
const MEMORY_BYTES: u64 = MEMORY_MB * 1_024 * 1_024;
/// The memory that bodies and events hold.
const HELD_GAUGE: &str = "sassafrashoist_held_body_bytes";
/// The longest request body.
const MAX_BODY_BYTES: usize = 4_194_304;
/// The length of a long event, a little less than the longest.
const LONG_EVENT_BYTES: usize = 250_000;
/// The callers that send one at the same time.
const LONG_BODY_COUNT: usize = 24;
/// Time in which a request is refused whose length says that it does not fit.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// How long these callers wait.
const LONG_BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// The length of a long response.
const LONG_RESPONSE_BYTES: usize = 32 * 1_024 * 1_024;
/// The callers of a faulty server.
const CALLER_COUNT: usize = 400;
/// How long they wait without reading.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// Time after the last caller has left within which memory is returned.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// How long a change in the log service may take to become active.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// The fewest requests of a sound route that are served meanwhile, one after the other.
const MIN_SOUND_ANSWERS: usize = 3;
/// Time between two readings of the memory.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

const LENGTH_HEAD: &str =
    "HTTP/1.1 200 OK\r\nupstream-signature: s\r\ncontent-length: 99999999999\r\n\r\n";
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nupstream-signature: s\r\n\r\n";
/// One chunk of four gigabytes.
const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nupstream-signature: s\r\ntransfer-encoding: chunked\r\n\r\nffffffff\r\n";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nupstream-signature: s\r\ncontent-type: text/event-stream\r\n\r\n";

/// What was seen while callers waited for responses without end.
#[derive(Debug)]
struct Seen {
    peak_bytes: u64,
    held_afterwards: Option<f64>,
    sound_answers: usize,
    sound_failures: usize,
}

async fn start(name: &str, plan: FleetPlan) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("memory_bounds").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let fleet = StandInFleet::start(program, &folder, plan).await.unwrap();
    fleet.gateways[0].add_setting(&format!("limits.memoryMb={MEMORY_MB}")).unwrap();
    fleet.gateways[0].reload_settings().await.unwrap();
    fleet
}

fn plan(engine_count: usize, plain_count: usize) -> FleetPlan {
    FleetPlan {
        gateway_count: 1,
        engine_count,
        plain_count,
        paid_tokens: 100_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    }
}

fn status() -> CallerRequest {
    CallerRequest::plain(Method::GET, STATUS_PATH)
}

fn bid() -> CallerRequest {
    CallerRequest::plain(Method::POST, BID_PATH)
}

fn to_model(path: &str) -> CallerRequest {
    CallerRequest::to_model(path, 900, 100)
}

/// Sends requests, and reads nothing of their responses for a while.
async fn hold_requests(fleet: &StandInFleet, request: &CallerRequest) {
    let address = fleet.gateways[0].caller_address;
    let connect = |index: usize| async move {
        let mut caller = RawCaller::connect_with_small_buffers(address).await.unwrap();
        // A request that is refused may be answered before it is written.
        caller.write(&request.encode(&format!("h{index}"))).await.ok();
        caller
    };
    let callers = join_all((0..CALLER_COUNT).map(connect)).await;
    tokio::time::sleep(HOLD_TIME).await;
    drop(callers);
}

/// Reads the memory of the gateway again and again; returns the peak when `load` ends.
async fn watch_memory(fleet: &StandInFleet, load: impl Future<Output = ()>) -> u64 {
    let mut peak_bytes = 0;
    let read = async {
        loop {
            peak_bytes = u64::max(peak_bytes, fleet.gateways[0].anonymous_bytes().unwrap());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = load => {}
        () = read => {}
    }
    peak_bytes
}

/// Watches the gateway and sends requests of a sound route, one after the other, until `load` ends.
async fn observe(
    fleet: &StandInFleet,
    sound: &CallerRequest,
    load: impl Future<Output = ()>,
) -> Seen {
    let sound = CallerRequest { timeout: ROUTE_TIMEOUT, ..sound.clone() };
    let (mut sound_answers, mut sound_failures) = (0, 0);
    let call = async {
        for index in 0.. {
            match fleet.send(0, &format!("sound{index}"), &sound).await {
                Ok(response) if response.status == 200 && response.is_complete() => {
                    sound_answers += 1;
                }
                Ok(_) | Err(_) => sound_failures += 1,
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let peak_bytes = watch_memory(fleet, async {
        tokio::select! {
            () = load => {}
            () = call => {}
        }
    })
    .await;
    tokio::time::sleep(RETURN_TIME).await;
    let held_afterwards = fleet.gateways[0].read_gauge(HELD_GAUGE).await.ok();
    Seen { peak_bytes, held_afterwards, sound_answers, sound_failures }
}

fn assert_bounded(seen: &Seen) {
    println!("{seen:?}");
    assert!(seen.peak_bytes < MEMORY_BYTES, "{seen:?}");
    assert!(seen.sound_answers >= MIN_SOUND_ANSWERS && seen.sound_failures == 0, "{seen:?}");
    assert_eq!(seen.held_afterwards, Some(0.0), "{seen:?}");
}

/// Sends requests to a plain service whose servers respond without end.
async fn hold_plain_requests(name: &str, head: &str, request: &CallerRequest) -> Seen {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = start(name, plan(2, 0)).await;
    let server = EndlessServer::start(head.to_owned(), b'x').await.unwrap();
    fleet.list_server("desk", "endless-0", server.address);
    fleet.list_server("desk", "endless-1", server.address);
    tokio::time::sleep(PROPAGATION_TIME).await;

    observe(&fleet, &to_model(DRAFT_PATH), hold_requests(&fleet, request)).await
}

/// Sends requests for streams to engines whose streams do not end.
async fn hold_streams(name: &str, filler: &str, request: &CallerRequest) -> Seen {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = start(name, plan(0, 2)).await;
    let server =
        EndlessServer::start_repeating(STREAM_HEAD.to_owned(), filler.as_bytes()).await.unwrap();
    fleet.list_server("llm", "endless-0", server.address);
    fleet.list_server("llm", "endless-1", server.address);
    tokio::time::sleep(PROPAGATION_TIME).await;

    observe(&fleet, &status(), hold_requests(&fleet, request)).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_with_a_length_but_no_end_do_not_exceed_the_memory() {
    let seen = hold_plain_requests("length", LENGTH_HEAD, &status()).await;

    assert_bounded(&seen);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_without_framing_or_end_do_not_exceed_the_memory() {
    let seen = hold_plain_requests("unframed", UNFRAMED_HEAD, &bid()).await;

    assert_bounded(&seen);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_without_end_do_not_exceed_the_memory() {
    let seen = hold_plain_requests("chunked", CHUNKED_HEAD, &bid()).await;

    assert_bounded(&seen);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_without_end_do_not_exceed_the_memory() {
    let seen = hold_streams("event", "data: x", &to_model(CHAT_PATH)).await;

    assert_bounded(&seen);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_without_end_do_not_exceed_the_memory() {
    let seen = hold_streams("events", "data: x\n\n", &to_model(CHAT_PATH)).await;

    assert_bounded(&seen);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_events_without_end_do_not_exceed_the_memory() {
    let event = format!("data: {}\n\n", "x".repeat(LONG_EVENT_BYTES));

    let seen = hold_streams("long_events", &event, &to_model(CHAT_PATH)).await;

    assert_bounded(&seen);
}

// The allocator keeps what was returned to it, which must serve the requests that come.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returned_memory_is_used_again() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = start("again", plan(0, 0)).await;
    let server = EndlessServer::start(CHUNKED_HEAD.to_owned(), b'x').await.unwrap();
    fleet.list_server("desk", "endless-0", server.address);
    tokio::time::sleep(PROPAGATION_TIME).await;

    let mut peaks = Vec::new();
    for _ in 0..3 {
        peaks.push(watch_memory(&fleet, hold_requests(&fleet, &status())).await);
    }

    println!("{peaks:?}");
    assert!(peaks.iter().all(|peak_bytes| *peak_bytes < MEMORY_BYTES), "{peaks:?}");
}

/// Begins requests whose bodies have the longest length; returns those that are not refused at once,
/// and the refusals.
async fn begin_long_bodies(fleet: &StandInFleet) -> (Vec<RawCaller>, Vec<RawAnswer>) {
    let (mut admitted, mut refusals) = (Vec::new(), Vec::new());
    for index in 0..LONG_BODY_COUNT {
        let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
        let body = vec![b'x'; MAX_BODY_BYTES].into();
        let timeout = LONG_BODY_TIMEOUT;
        let request = CallerRequest { body, timeout, ..status() }.encode(&format!("l{index}"));
        let head_bytes = request.len() - MAX_BODY_BYTES;
        caller.write(&request[..head_bytes]).await.unwrap();
        match tokio::time::timeout(REFUSAL_TIME, caller.read_answer()).await {
            Ok(refusal) => refusals.push(refusal),
            Err(_) => admitted.push(caller),
        }
    }
    (admitted, refusals)
}

async fn start_with_long_bodies(name: &str) -> StandInFleet {
    let mut fleet = start(name, plan(0, 2)).await;
    fleet.change_body_limit(MAX_BODY_BYTES);
    fleet.change_timeouts(LONG_BODY_TIMEOUT, IDLE_TIMEOUT);
    tokio::time::sleep(PROPAGATION_TIME).await;
    fleet
}

// 17 callers with bodies of 4 MiB, each within the limit, made a VM of 110 MB end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_request_bodies_do_not_exceed_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = start_with_long_bodies("request_bodies").await;
    let (mut admitted, refusals) = begin_long_bodies(&fleet).await;

    let mut answers = Vec::new();
    let peak_bytes = watch_memory(&fleet, async {
        let body = vec![b'x'; MAX_BODY_BYTES - 1];
        for caller in &mut admitted {
            caller.write(&body).await.unwrap();
        }
        for caller in &mut admitted {
            caller.write(b"x").await.unwrap();
        }
        answers = join_all(admitted.iter_mut().map(RawCaller::read_answer)).await;
    })
    .await;

    println!("{peak_bytes} {} {}", answers.len(), refusals.len());
    assert!(peak_bytes < MEMORY_BYTES, "{peak_bytes}");
    assert!(answers.len() >= 4, "{}", answers.len());
    assert!(answers.iter().all(|answer| answer.status() == Some(200)), "{answers:?}");
    for refusal in &refusals {
        assert!(refusal.head.starts_with("HTTP/1.1 503 "), "{refusal:?}");
        assert!(refusal.header("retry-after").is_some(), "{refusal:?}");
    }
    let body = vec![b'x'; MAX_BODY_BYTES].into();
    let again = fleet.send(0, "again", &CallerRequest { body, ..bid() }).await.unwrap();
    assert_eq!(again.status, 200, "{again:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_request_bodies_do_not_exceed_the_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = start_with_long_bodies("chunked_requests").await;
    let begin = |index: usize| {
        let text = String::from_utf8(status().encode(&format!("c{index}"))).unwrap();
        let (head, _) = text.split_once("Content-Length").unwrap();
        format!("{head}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", MAX_BODY_BYTES)
    };

    let mut statuses = Vec::new();
    let peak_bytes = watch_memory(&fleet, async {
        let body = vec![b'x'; MAX_BODY_BYTES];
        let mut callers = Vec::new();
        for index in 0..LONG_BODY_COUNT {
            let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
            caller.write(begin(index).as_bytes()).await.unwrap();
            // A refusal may end the connection.
            caller.write(&body).await.ok();
            callers.push(caller);
        }
        for caller in &mut callers {
            caller.write(b"\r\n0\r\n\r\n").await.ok();
        }
        let answers = join_all(callers.iter_mut().map(RawCaller::read_answer)).await;
        statuses = answers.iter().map(RawAnswer::status).collect();
    })
    .await;

    println!("{peak_bytes} {statuses:?}");
    assert!(peak_bytes < MEMORY_BYTES, "{peak_bytes}");
    let served_count = statuses.iter().filter(|status| **status == Some(200)).count();
    assert!(served_count >= 4, "{statuses:?}");
    let other_count = statuses.iter().filter(|status| **status == Some(503)).count();
    assert_eq!(served_count + other_count, LONG_BODY_COUNT, "{statuses:?}");
}

// The bounds must not cut sound responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_response_is_whole_for_a_fast_and_a_slow_caller() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = start("long_response", plan(0, 0)).await;
    let head = format!(
        "HTTP/1.1 200 OK\r\nupstream-signature: s\r\ncontent-length: {LONG_RESPONSE_BYTES}\r\n\r\n"
    );
    let response = RawResponse::at_once(&(head + &"x".repeat(LONG_RESPONSE_BYTES)));
    let server = RawServer::start(move |_| response.clone()).await.unwrap();
    fleet.list_server("desk", "long-0", server.address);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let request = CallerRequest { timeout: Duration::from_secs(5), ..status() };
    let mut slow = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
    slow.write(&request.encode("slow")).await.unwrap();

    let mut lengths = Vec::new();
    let peak_bytes = watch_memory(&fleet, async {
        let (fast, slow) = tokio::join!(
            fleet.send(0, "fast", &request),
            slow.read_answer_slowly(LONG_RESPONSE_BYTES / 2)
        );
        lengths = vec![fast.unwrap().body.len(), slow.body.len()];
    })
    .await;

    println!("{peak_bytes}");
    assert_eq!(lengths, [LONG_RESPONSE_BYTES; 2]);
    assert!(peak_bytes < MEMORY_BYTES / 2, "{peak_bytes}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_ordinary_requests_at_once_are_served() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = start("ordinary", plan(8, 8)).await;
    // The tokens that the gateway holds from its start on suffice for all of them.
    let draft = CallerRequest::to_model(DRAFT_PATH, 10, EVENT_COUNT * TOKENS_PER_EVENT);
    let status = status();
    let send = |index: usize| {
        let request = if index.is_multiple_of(2) { &draft } else { &status };
        let fleet = &fleet;
        async move { fleet.send(0, &format!("o{index}"), request).await.unwrap() }
    };

    let mut responses = Vec::new();
    let peak_bytes = watch_memory(&fleet, async {
        responses = join_all((0..500).map(send)).await;
    })
    .await;

    println!("{peak_bytes}");
    for response in &responses {
        assert!(response.status == 200 && response.is_complete(), "{response:?}");
    }
    assert!(peak_bytes < MEMORY_BYTES, "{peak_bytes}");
}
