//! Tests of callers that close their writing side after a request, and of callers that leave.
//!
//! Both look alike at first: the end of the caller's stream is all that is received.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use sassafrashoist::gateway::request_body::RequestBody;
use sassafrashoist::gateway::response_body::ResponseBody;
use sassafrashoist_platform_stand_in::backend_server::RUN_TIME_HEADER;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::http_listener::PathFault;
use sassafrashoist_platform_stand_in::raw_answer::{AnswerEnd, RawAnswer};
use sassafrashoist_platform_stand_in::raw_caller::RawCaller;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    BID_PATH, CHAT_PATH, DRAFT_PATH, EVENT_COUNT, FleetPlan, ROUTE_TIMEOUT, STATUS_PATH,
    StandInFleet,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::served_connection::{REQUEST, ServedConnection, WAIT, answer, serve};

/// How long a request runs, and the time between two events.
const RUN_TIME: Duration = Duration::from_millis(700);
/// How long a server may work for a caller that has left.
const GONE_TIME: Duration = Duration::from_millis(500);
/// How long a caller that closed its writing side stays before it leaves.
const STAY_TIME: Duration = Duration::from_millis(250);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The time in which requests are sent around the signal to stop, and the number of their moments.
const STOP_TIME: Duration = Duration::from_millis(3_200);
const STOP_MOMENTS: u32 = 32;
/// The time after which a gateway that lost its paths serves its callers like the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The requests that a connection handles: how many were begun, and how many ended early.
#[derive(Debug, Clone, Default)]
struct Handled {
    begun: Arc<AtomicUsize>,
    dropped: Arc<AtomicUsize>,
}

/// Counts a request that is dropped before its response.
struct DropCounter(Arc<AtomicUsize>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl Handled {
    /// Serves one connection whose requests take this long.
    async fn serve(&self, run_time: Duration) -> ServedConnection {
        let handled = self.clone();
        serve(move |request| handled.clone().handle(request, run_time)).await
    }

    async fn handle(
        self,
        request: Request<RequestBody>,
        run_time: Duration,
    ) -> Response<ResponseBody> {
        let status = match request.into_body().collect().await {
            Ok(_) => StatusCode::OK,
            Err(_) => StatusCode::BAD_REQUEST,
        };
        self.begun.fetch_add(1, Ordering::Relaxed);
        let counter = DropCounter(self.dropped);
        tokio::time::sleep(run_time).await;
        std::mem::forget(counter);
        answer(status, 4)
    }

    async fn wait_until_begun(&self) {
        wait_until("a request is handled", || self.begun.load(Ordering::Relaxed) > 0).await;
    }

    /// Returns how long it takes until a request is dropped.
    async fn drop_time(&self) -> Duration {
        let left_at = Instant::now();
        wait_until("the request is dropped", || self.dropped.load(Ordering::Relaxed) > 0).await;
        left_at.elapsed()
    }
}

async fn wait_until(what: &str, is_reached: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !is_reached() {
        assert!(started_at.elapsed() < WAIT, "not reached in time: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn final_answers(received: &str) -> usize {
    received.matches("HTTP/1.1 200 OK").count()
}

// The HTTP library ended the connection when it read the end of the caller's stream.
#[tokio::test]
async fn request_of_a_caller_that_sends_no_more_is_answered() {
    let mut served = Handled::default().serve(RUN_TIME).await;

    served.caller.write_all(REQUEST).await.unwrap();
    served.caller.shutdown().await.unwrap();
    let received = served.read_to_end().await;

    assert_eq!(final_answers(&received), 1, "{received}");
    assert!(received.ends_with("xxxx"), "{received}");
}

// The end of the stream arrives together with the end of the body, before the body is taken.
#[tokio::test]
async fn body_that_ends_with_the_stream_of_its_caller_is_whole() {
    let bodies: [&[u8]; 2] = [
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody",
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    ];
    for body in bodies {
        let mut served = Handled::default().serve(RUN_TIME).await;

        served.caller.write_all(body).await.unwrap();
        served.caller.shutdown().await.unwrap();
        let received = served.read_to_end().await;

        assert_eq!(final_answers(&received), 1, "{received}");
    }
}

#[tokio::test]
async fn body_that_is_cut_off_by_the_end_of_its_stream_does_not_wait_for_more() {
    let handled = Handled::default();
    let mut served = handled.serve(Duration::ZERO).await;
    let began = Instant::now();

    let part = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 40\r\n\r\nbody";
    served.caller.write_all(part).await.unwrap();
    served.caller.shutdown().await.unwrap();
    let received = served.read_to_end().await;

    assert_eq!(final_answers(&received), 0, "{received}");
    assert!(began.elapsed() < GONE_TIME, "{:?}", began.elapsed());
}

#[tokio::test]
async fn both_of_two_requests_before_the_end_of_the_stream_are_answered() {
    let mut served = Handled::default().serve(STAY_TIME).await;

    served.caller.write_all(&[REQUEST, REQUEST].concat()).await.unwrap();
    served.caller.shutdown().await.unwrap();
    let received = served.read_to_end().await;

    assert_eq!(final_answers(&received), 2, "{received}");
}

// Such a caller cannot be asked whether it is still there, as it knows no interim responses.
#[tokio::test]
async fn caller_of_the_older_protocol_that_sends_no_more_is_answered_without_interim_responses() {
    let mut served = Handled::default().serve(RUN_TIME).await;

    served.caller.write_all(b"GET / HTTP/1.0\r\nhost: a\r\n\r\n").await.unwrap();
    served.caller.shutdown().await.unwrap();
    let received = served.read_to_end().await;

    assert!(received.starts_with("HTTP/1.0 200"), "{received}");
    assert!(received.ends_with("xxxx"), "{received}");
}

#[tokio::test]
async fn request_of_a_caller_that_left_is_dropped() {
    let handled = Handled::default();
    let mut served = handled.serve(WAIT).await;
    served.caller.write_all(REQUEST).await.unwrap();
    handled.wait_until_begun().await;

    drop(served.caller);
    let time = handled.drop_time().await;

    assert!(time < GONE_TIME, "{time:?}");
}

// Its end of stream was received before, so that nothing more arrives when it leaves.
#[tokio::test]
async fn request_of_a_caller_that_sends_no_more_and_leaves_later_is_dropped() {
    let handled = Handled::default();
    let mut served = handled.serve(WAIT).await;
    served.caller.write_all(REQUEST).await.unwrap();
    served.caller.shutdown().await.unwrap();
    handled.wait_until_begun().await;
    tokio::time::sleep(STAY_TIME).await;

    drop(served.caller);
    let time = handled.drop_time().await;

    assert!(time < GONE_TIME, "{time:?}");
}

#[tokio::test]
async fn connection_of_a_caller_that_sends_no_more_ends_after_its_answer() {
    let mut served = Handled::default().serve(Duration::ZERO).await;
    served.caller.write_all(REQUEST).await.unwrap();

    served.caller.shutdown().await.unwrap();
    let closed = tokio::time::timeout(GONE_TIME, served.connections.wait_until_closed()).await;

    assert!(closed.is_ok(), "{}", served.connections);
}

// A connection that is closed with unread bytes is reset, which can take the answer with it.
#[tokio::test]
async fn answer_is_not_reset_by_a_request_that_came_before_its_connection_was_closed() {
    let mut served = Handled::default().serve(STAY_TIME).await;
    served.caller.write_all(REQUEST).await.unwrap();
    served.wait_for(|counts| counts.in_request == 1).await;

    served.caller.write_all(REQUEST).await.unwrap();
    served.signals.closing.cancel();
    served.signals.closing_opened.cancel();
    let mut received = Vec::new();
    let read = tokio::time::timeout(WAIT, served.caller.read_to_end(&mut received)).await;

    let received = String::from_utf8_lossy(&received).into_owned();
    assert!(read.unwrap().is_ok(), "{received}");
    assert!(final_answers(&received) >= 1, "{received}");
}

fn plan() -> FleetPlan {
    FleetPlan {
        gateway_count: 1,
        engine_count: 2,
        plain_count: 2,
        paid_tokens: 10_000_000,
        has_own_paths: false,
        event_interval: RUN_TIME / 6,
    }
}

async fn start(name: &str) -> StandInFleet {
    start_with(name, plan()).await
}

async fn start_with(name: &str, plan: FleetPlan) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("half_closed").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

/// One request of each kind: one that may run at most once, one that may be repeated, a stream that
/// may be resumed and one that may not.
fn request_of_each_kind() -> [(&'static str, CallerRequest); 4] {
    let slow = |request: CallerRequest| CallerRequest {
        timeout: ROUTE_TIMEOUT,
        headers: vec![(RUN_TIME_HEADER, RUN_TIME.as_millis().to_string())],
        ..request
    };
    let stream =
        |path| CallerRequest { timeout: ROUTE_TIMEOUT, ..CallerRequest::to_model(path, 900, 100) };
    [
        ("bid", slow(CallerRequest::plain(Method::POST, BID_PATH))),
        ("status", slow(CallerRequest::plain(Method::GET, STATUS_PATH))),
        ("draft", stream(DRAFT_PATH)),
        ("chat", stream(CHAT_PATH)),
    ]
}

async fn send_and_close_writing(
    address: SocketAddr,
    id: &str,
    request: &CallerRequest,
) -> RawCaller {
    let mut caller = RawCaller::connect(address).await.unwrap();
    caller.write(&request.encode(id)).await.unwrap();
    caller.close_writing().await.unwrap();
    caller
}

async fn read(caller: &mut RawCaller) -> RawAnswer {
    tokio::time::timeout(WAIT, caller.read_answer()).await.unwrap()
}

#[tokio::test]
async fn each_kind_of_request_is_answered_to_a_caller_that_sends_no_more() {
    let fleet = start("answered").await;
    let address = fleet.gateways[0].caller_address;
    for (id, request) in request_of_each_kind() {
        let mut caller = send_and_close_writing(address, id, &request).await;

        let answer = read(&mut caller).await;

        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!(answer.status(), Some(200), "{id}: {:?} {}", answer.end, answer.head);
        let runs = fleet.runs_of(id).len();
        assert!(runs == 1 || id == "status", "{id}: {runs} runs");
        if request.tokens.is_some() {
            assert_eq!(text.matches("data:").count() as u64, EVENT_COUNT, "{id}: {text}");
        }
    }
}

// Work for a caller that left is to stop, whether or not it had closed its writing side before. A
// request that may run at most once goes on.
#[tokio::test]
async fn servers_stop_work_for_callers_that_left() {
    let fleet = start("left").await;
    let address = fleet.gateways[0].caller_address;
    let kinds = request_of_each_kind();
    for (id, request) in kinds.iter().filter(|(id, _)| *id == "draft" || *id == "chat") {
        let caller = send_and_close_writing(address, id, request).await;
        wait_until("the stream runs", || {
            fleet.runs_of(id).first().is_some_and(|run| run.sent_event_count() > 0)
        })
        .await;

        drop(caller);
        tokio::time::sleep(GONE_TIME).await;

        let events = fleet.runs_of(id)[0].sent_event_count();
        assert!(events < EVENT_COUNT, "{id}: {events} events were sent");
    }
    let (id, request) = &kinds[1];
    let caller = send_and_close_writing(address, id, request).await;
    wait_until("the request runs", || !fleet.runs_of(id).is_empty()).await;
    drop(caller);
    tokio::time::sleep(RUN_TIME + GONE_TIME).await;
    assert!(!fleet.runs_of(id)[0].is_finished(), "{id} was run to its end");
}

// The listener of a stopping gateway is open for a part of its grace period.
#[tokio::test]
async fn half_closed_callers_are_answered_around_the_signal_to_stop() {
    let mut fleet = start("stop").await;
    let address = fleet.gateways[0].caller_address;
    let mut callers = Vec::new();
    for moment in 0..=STOP_MOMENTS {
        if moment == STOP_MOMENTS / 4 {
            fleet.gateways[0].terminate().unwrap();
        }
        for (id, request) in request_of_each_kind() {
            let id = format!("{id}-{moment}");
            let Ok(mut caller) = RawCaller::connect(address).await else { continue };
            caller.write(&request.encode(&id)).await.unwrap();
            // Half of them close their writing side while the request runs.
            if moment % 2 == 0 {
                caller.close_writing().await.unwrap();
            }
            callers.push((id, caller, moment));
        }
        tokio::time::sleep(STOP_TIME / STOP_MOMENTS).await;
        for (_, caller, _) in callers.iter_mut().filter(|(_, _, sent)| sent % 2 == 1) {
            // The answer may have ended the connection.
            caller.close_writing().await.ok();
        }
    }

    let count = callers.len();
    for (id, mut caller, _) in callers {
        let answer = read(&mut caller).await;
        let status = answer.status();
        assert!(answer.end == AnswerEnd::Complete, "{id}: {:?} {}", answer.end, answer.head);
        assert!(matches!(status, Some(200 | 503)), "{id}: {}", answer.head);
    }
    assert!(count > STOP_MOMENTS as usize * 3, "{count} callers");
    fleet.gateways[0].wait_for_exit().await.unwrap();
}

// Another gateway carries the bytes between its callers and the servers.
#[tokio::test]
async fn half_closed_callers_of_a_gateway_without_paths_are_answered() {
    let plan = FleetPlan { gateway_count: 3, has_own_paths: true, ..plan() };
    let fleet = start_with("relay", plan).await;
    fleet.set_path_fault(0, PathFault::RefusesNew);
    let address = fleet.gateways[0].caller_address;
    let deadline = Instant::now() + CONTACT_TIME;
    for number in 0.. {
        let bid = CallerRequest::plain(Method::POST, BID_PATH);
        fleet.send(0, &format!("early-{number}"), &bid).await.ok();
        if Instant::now() > deadline {
            break;
        }
    }

    for (id, request) in request_of_each_kind() {
        let mut caller = send_and_close_writing(address, id, &request).await;
        let answer = read(&mut caller).await;
        assert_eq!(answer.status(), Some(200), "{id}: {:?} {}", answer.end, answer.head);
        assert_eq!(answer.end, AnswerEnd::Complete, "{id}");
    }
    let (_, chat) = &request_of_each_kind()[3];
    let caller = send_and_close_writing(address, "left", chat).await;
    wait_until("the stream runs", || {
        fleet.runs_of("left").first().is_some_and(|run| run.sent_event_count() > 0)
    })
    .await;
    drop(caller);
    tokio::time::sleep(GONE_TIME).await;

    let events = fleet.runs_of("left")[0].sent_event_count();
    assert!(events < EVENT_COUNT, "{events} events were sent");
    let logs = (1..3).map(|gateway| fleet.gateways[gateway].read_log().unwrap());
    assert!(logs.into_iter().any(|log| log.contains("connection for another VM")));
}
