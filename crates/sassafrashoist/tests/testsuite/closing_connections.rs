//! Tests of connections that are closed while their callers may still send.

use std::time::{Duration, Instant};

use http::{Request, StatusCode};
use http_body_util::BodyExt;
use sassafrashoist::gateway::request_body::RequestBody;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    EVENT_INTERVAL, FleetPlan, HOST, StandInFleet,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::served_connection::{REQUEST, ServedConnection, WAIT, answer, serve, succeed};

/// The length of a response of which the kernel takes only a part.
const LONG_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// How long a connection with nothing owed may hold a drain.
const PROMPT: Duration = Duration::from_millis(500);
/// How long a drain waits for a head that is being read.
const HEAD_TIME: Duration = Duration::from_secs(1);
/// A grace period with more time to serve than [`HEAD_TIME`] once the listener is closed.
const LONG_GRACE: Duration = Duration::from_secs(8);
const GRACE: Duration = Duration::from_secs(4);

/// Gives bytes that change no phase the time to arrive.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

fn close(served: &ServedConnection) {
    served.signals.closing.cancel();
    served.signals.closing_opened.cancel();
}

/// Returns how long the drain waits for the connection.
async fn drain_time(served: &ServedConnection) -> Duration {
    let began = Instant::now();
    let closed = tokio::time::timeout(WAIT, served.connections.wait_until_closed()).await;
    closed.unwrap();
    began.elapsed()
}

// The part of a head that the HTTP library has read during the request before is in no phase.
#[tokio::test]
async fn part_of_a_head_that_came_during_the_request_before_is_waited_for() {
    let mut served = serve(succeed(4)).await;
    let (first_part, rest) = REQUEST.split_at(10);
    served.caller.write_all(&[REQUEST, first_part].concat()).await.unwrap();
    settle().await;
    let counts = served.connections.counts();

    close(&served);
    settle().await;
    served.caller.write_all(rest).await.ok();
    let mut received = Vec::new();
    let read = tokio::time::timeout(WAIT, served.caller.read_to_end(&mut received)).await;

    let received = String::from_utf8_lossy(&received).into_owned();
    assert_eq!((counts.reading_head, counts.idle), (1, 0), "{counts:?}");
    assert!(read.unwrap().is_ok(), "{received}");
    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 2, "{received}");
}

// A line break between requests, which HTTP allows, is no request.
#[tokio::test]
async fn line_break_after_a_request_does_not_hold_the_drain() {
    let mut served = serve(succeed(4)).await;
    served.caller.write_all(REQUEST).await.unwrap();
    served.wait_for(|counts| counts.idle == 1).await;
    served.caller.write_all(b"\r\n").await.unwrap();
    settle().await;
    let counts = served.connections.counts();

    close(&served);
    let time = drain_time(&served).await;

    assert!(time < PROMPT, "{time:?}, {counts:?}");
}

// A caller that is not told of the close sends its next request, which is read and thrown away.
#[tokio::test]
async fn early_refusal_tells_that_its_connection_is_closed() {
    let mut served = serve(|_| std::future::ready(answer(StatusCode::NOT_FOUND, 4))).await;
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n";
    served.caller.write_all(head).await.unwrap();
    let mut chunk = vec![0; 4_096];
    let count = served.caller.read(&mut chunk).await.unwrap();
    let received = String::from_utf8_lossy(&chunk[..count]).to_lowercase();

    assert!(received.contains("404"), "{received}");
    assert!(received.contains("connection: close"), "{received}");
}

// The body was read, so that nothing that is still to come can reset the connection.
#[tokio::test]
async fn failure_after_a_whole_body_does_not_hold_the_drain() {
    let handle = |request: Request<RequestBody>| async move {
        request.into_body().collect().await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        answer(StatusCode::SERVICE_UNAVAILABLE, 4)
    };
    let mut served = serve(handle).await;
    let request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
    served.caller.write_all(request).await.unwrap();
    served.wait_for(|counts| counts.in_request == 1).await;

    close(&served);
    // The caller keeps its side of the connection open, as one that pools connections does.
    let time = drain_time(&served).await;

    assert!(time < PROMPT, "{time:?}");
}

// Bytes that the caller sent after its request are not read before the connection is closed, so that
// the kernel resets it and throws away the rest of the answer.
#[tokio::test]
async fn long_answer_is_whole_although_more_was_sent_on_its_connection() {
    let mut served = serve(succeed(LONG_RESPONSE_BYTES)).await;
    let next = [
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n".to_vec(),
        vec![b'x'; 60_000],
    ];
    served.caller.write_all(&[REQUEST, &next.concat()].concat()).await.unwrap();
    settle().await;

    close(&served);
    settle().await;
    let mut received = Vec::new();
    let read = tokio::time::timeout(WAIT, async {
        let mut chunk = vec![0; 65_536];
        loop {
            match served.caller.read(&mut chunk).await {
                Ok(0) => return Ok(()),
                Ok(count) => received.extend_from_slice(&chunk[..count]),
                Err(error) => return Err(error),
            }
            tokio::time::sleep(Duration::from_micros(500)).await;
        }
    })
    .await;

    assert!(received.len() > LONG_RESPONSE_BYTES, "{} bytes, {read:?}", received.len());
}

// The HTTP library itself refuses a head that is too long, and the rest of it is not read.
#[tokio::test]
async fn refusal_of_a_head_that_is_too_long_arrives() {
    let mut served = serve(succeed(4)).await;
    let head = [b"GET / HTTP/1.1\r\nhost: a\r\nlong: ".to_vec(), vec![b'x'; 60_000]].concat();
    served.caller.write_all(&head).await.unwrap();
    settle().await;
    let written = served.caller.write_all(b"\r\n\r\n").await;
    let mut received = Vec::new();
    let read = tokio::time::timeout(WAIT, served.caller.read_to_end(&mut received)).await;

    let received = String::from_utf8_lossy(&received).into_owned();
    assert!(received.starts_with("HTTP/1.1 431"), "{received:?} {read:?} {written:?}");
    assert!(read.unwrap().is_ok(), "{received:?}");
}

/// Serves a connection on which a request with a body has been answered with a failure.
async fn serve_after_failure() -> ServedConnection {
    let mut served = serve(|request: Request<RequestBody>| async move {
        request.into_body().collect().await.unwrap();
        answer(StatusCode::SERVICE_UNAVAILABLE, 4)
    })
    .await;
    let request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
    served.caller.write_all(request).await.unwrap();
    served.wait_for(|counts| counts.idle == 1).await;
    let mut chunk = vec![0; 4_096];
    assert!(served.caller.read(&mut chunk).await.unwrap() > 0);
    served
}

#[tokio::test]
async fn idle_connection_after_a_failure_is_closed_at_once() {
    let served = serve_after_failure().await;

    close(&served);
    let time = drain_time(&served).await;

    assert!(time < PROMPT, "{time:?}");
}

// A caller may send a request that may run once at most again only if it was not read.
#[tokio::test]
async fn request_that_crosses_the_close_after_a_failure_is_not_read() {
    let mut served = serve_after_failure().await;

    close(&served);
    tokio::time::timeout(PROMPT, served.connections.wait_until_closed()).await.unwrap();
    served.caller.write_all(REQUEST).await.unwrap();
    settle().await;
    let later = served.caller.write_all(b"x").await;

    // The kernel resets a connection on which bytes arrive that are not read any more.
    assert!(later.is_err(), "the request was read and thrown away");
}

/// Returns how long a gateway with this grace period takes to exit after SIGTERM, while a caller holds
/// a connection on which it has sent these bytes after an answered request.
async fn exit_time_with(name: &str, grace: Duration, stray: &[u8]) -> Duration {
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join("closing_connections")
        .join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: 1,
        engine_count: 1,
        plain_count: 1,
        paid_tokens: 100_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    let mut fleet = StandInFleet::start(program, &folder, plan).await.unwrap();
    fleet.gateways[0].set_shutdown_grace(grace).await.unwrap();
    let mut caller = TcpStream::connect(fleet.gateways[0].caller_address).await.unwrap();
    let request = format!("GET /nowhere/ HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: a\r\n\r\n");
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut chunk = vec![0; 4_096];
    assert!(caller.read(&mut chunk).await.unwrap() > 0);
    caller.write_all(stray).await.unwrap();
    settle().await;

    let began = Instant::now();
    fleet.gateways[0].terminate().unwrap();
    fleet.gateways[0].wait_for_exit().await.unwrap();
    began.elapsed()
}

#[tokio::test]
async fn line_break_after_a_request_does_not_hold_the_exit_of_a_gateway() {
    let idle = exit_time_with("idle", GRACE, b"").await;
    let line_break = exit_time_with("line_break", GRACE, b"\r\n").await;

    assert!(line_break < idle + PROMPT, "{line_break:?}, without it {idle:?}");
}

// A caller that stalled within a head held the drain to the end of the time to serve.
#[tokio::test]
async fn head_that_stalls_holds_the_exit_of_a_gateway_for_a_second_at_most() {
    let idle = exit_time_with("idle_2", LONG_GRACE, b"").await;
    let stalled = exit_time_with("stalled", LONG_GRACE, b"G").await;

    assert!(stalled < idle + HEAD_TIME + PROMPT, "{stalled:?}, without it {idle:?}");
}
