//! Tests of connections that end, or could end, without an answer to a request that was read.

use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use http::{Method, Request, Response, StatusCode};
use sassafrashoist::gateway::request_body::RequestBody;
use sassafrashoist::gateway::response_body::ResponseBody;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::raw_answer::RawAnswer;
use sassafrashoist_platform_stand_in::raw_caller::RawCaller;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    BID_PATH, CHAT_PATH, DRAFT_PATH, EVENT_INTERVAL, FleetPlan, IDLE_TIMEOUT, ROUTE_TIMEOUT,
    STATUS_PATH, StandInFleet,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::served_connection::{
    REQUEST, ServedConnection, WAIT, WRITE_TIMEOUT, answer, serve, succeed,
};

/// The length of a response of which the kernel takes only a part.
const LONG_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Gives bytes the time to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// The shortest idle time of the stand-in's configurations; no less than their time for a head.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("ends_of_connections").join(name);
    std::fs::remove_dir_all(&folder).ok();
    folder
}

async fn start(name: &str) -> StandInFleet {
    start_program(Path::new(env!("CARGO_BIN_EXE_sassafrashoist")), &folder(name)).await
}

/// Starts a fleet whose gateway may have so many descriptors open.
async fn start_with_descriptors(name: &str, count: u32) -> StandInFleet {
    let folder = folder(name);
    std::fs::create_dir_all(&folder).unwrap();
    let script = folder.join("limited.sh");
    let program = env!("CARGO_BIN_EXE_sassafrashoist");
    let text = format!("#!/bin/sh\nulimit -n {count}\nexec '{program}' \"$@\"\n");
    std::fs::write(&script, text).unwrap();
    std::fs::set_permissions(&script, Permissions::from_mode(0o755)).unwrap();
    start_program(&script, &folder).await
}

async fn start_program(program: &Path, folder: &Path) -> StandInFleet {
    let plan = FleetPlan {
        gateway_count: 1,
        engine_count: 1,
        plain_count: 1,
        paid_tokens: 100_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    StandInFleet::start(program, folder, plan).await.unwrap()
}

/// Sends requests one after the other on one connection; returns the statuses of the answers.
async fn send_each(caller: &mut RawCaller, name: &str, count: usize) -> Vec<Option<u16>> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let request = CallerRequest::plain(Method::POST, BID_PATH);
        caller.write(&request.encode(&format!("{name}-{number}"))).await.unwrap();
        statuses.push(read(caller).await.status());
    }
    statuses
}

async fn read(caller: &mut RawCaller) -> RawAnswer {
    tokio::time::timeout(WAIT, caller.read_answer()).await.unwrap()
}

async fn panic_on_request(_: Request<RequestBody>) -> Response<ResponseBody> {
    tokio::task::yield_now().await;
    panic!("a fault of the handler")
}

/// Sends bytes and returns the statuses of the answers until the connection is closed.
async fn statuses(served: &mut ServedConnection, bytes: &[u8]) -> Vec<String> {
    served.caller.write_all(bytes).await.unwrap();
    let received = served.read_to_end().await;
    received.split("HTTP/1.1 ").skip(1).map(|answer| answer[..3].to_owned()).collect()
}

// The task of the connection ended with the request, and the caller saw a closed connection.
#[tokio::test]
async fn request_whose_handling_panics_is_answered() {
    let requests: [&[u8]; 2] =
        [REQUEST, b"POST / HTTP/1.1\r\nhost: a\r\nrequest-id: r7\r\ncontent-length: 4\r\n\r\nbody"];
    for request in requests {
        let mut served = serve(panic_on_request).await;

        served.caller.write_all(request).await.unwrap();
        served.caller.shutdown().await.unwrap();
        let received = served.read_to_end().await;

        assert!(received.starts_with("HTTP/1.1 502"), "{received}");
        let has_id = received.to_lowercase().contains("request-id: r7");
        assert_eq!(has_id, request != REQUEST, "{received}");
    }
}

// The sum of both numbers overflowed: the request ended without an answer, or reserved no tokens.
#[tokio::test]
async fn request_that_names_more_tokens_than_can_be_counted_is_refused() {
    let fleet = start("tokens").await;
    let usages = ["18446744073709551615,1", "1,18446744073709551615", "9,99999999999999999999999"];
    for path in [DRAFT_PATH, CHAT_PATH, BID_PATH, STATUS_PATH] {
        for (number, usage) in usages.iter().enumerate() {
            let headers = vec![
                ("token-usage", (*usage).to_owned()),
                ("prefix-hash", "aa:18446744073709551615,bb:18446744073709551615,cc:1".to_owned()),
            ];
            let request = CallerRequest { headers, ..CallerRequest::plain(Method::POST, path) };
            let id = format!("{}-{number}", &path[1..4]);
            let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();

            caller.write(&request.encode(&id)).await.unwrap();
            let answer = read(&mut caller).await;

            assert_eq!(answer.status(), Some(402), "{path} {usage}: {answer:?}");
            assert!(fleet.runs_of(&id).is_empty(), "{path} {usage}");
        }
    }
}

// The limit was read once, when the connection was accepted.
#[tokio::test]
async fn connection_is_kept_for_the_idle_time_of_a_newer_configuration() {
    let mut fleet = start("idle").await;
    fleet.change_timeouts(ROUTE_TIMEOUT, SHORT_IDLE_TIMEOUT);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let request = CallerRequest::plain(Method::POST, BID_PATH);
    let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
    caller.write(&request.encode("first")).await.unwrap();
    let first = read(&mut caller).await;

    fleet.change_timeouts(ROUTE_TIMEOUT, IDLE_TIMEOUT);
    tokio::time::sleep(SHORT_IDLE_TIMEOUT + Duration::from_secs(1)).await;
    caller.write(&request.encode("second")).await.ok();
    let second = read(&mut caller).await;

    assert_eq!(first.status(), Some(200), "{first:?}");
    assert_eq!(second.status(), Some(200), "{second:?}");
}

// The HTTP library reads the limit once, when the connection is accepted.
#[tokio::test]
async fn head_that_a_newer_configuration_allows_is_read_on_a_kept_connection() {
    let mut fleet = start("head_limit").await;
    let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
    let first = send_each(&mut caller, "first", 1).await;

    fleet.change_header_limit(40_000);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let long = CallerRequest {
        headers: vec![("padding", "x".repeat(20_000))],
        ..CallerRequest::plain(Method::POST, BID_PATH)
    };
    caller.write(&long.encode("second")).await.unwrap();
    let second = read(&mut caller).await;

    assert_eq!(first, [Some(200)]);
    assert_eq!(second.status(), Some(200), "{second:?}");
}

// All that was sent had been read when the connection was closed, and what came later reset it.
#[tokio::test]
async fn refusal_of_a_head_arrives_while_the_rest_of_the_head_is_sent() {
    let long = [b"GET / HTTP/1.1\r\nhost: a\r\nlong: ".to_vec(), vec![b'x'; 8_200]].concat();
    let malformed = b"GET / HTTP/1.1\r\nhost a\r\n".to_vec();
    for (head, status) in [(long, "431"), (malformed, "400")] {
        let mut served = serve(succeed(4)).await;
        served.caller.write_all(&head).await.unwrap();
        tokio::time::sleep(SETTLE_TIME).await;

        served.caller.write_all(b"more: x\r\n").await.unwrap();
        tokio::time::sleep(SETTLE_TIME).await;
        let written = served.caller.write_all(b"\r\n").await;
        let mut received = Vec::new();
        let read = tokio::time::timeout(WAIT, served.caller.read_to_end(&mut received)).await;

        let received = String::from_utf8_lossy(&received).into_owned();
        assert!(received.starts_with(&format!("HTTP/1.1 {status}")), "{received:?}");
        assert!(written.is_ok() && read.unwrap().is_ok(), "{status}: {written:?}");
    }
}

#[tokio::test]
async fn head_that_cannot_be_read_is_refused_after_the_answers_before_it() {
    let heads: [(&[u8], &str); 5] = [
        (b"GET / HTTP/1.1\r\nhost a\r\n\r\n", "400"),
        (b"GET / HTTP/3.7\r\nhost: a\r\n\r\n", "400"),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", "400"),
    ];
    for (head, status) in heads {
        let mut alone = serve(succeed(4)).await;
        let mut second = serve(succeed(4)).await;

        let alone = statuses(&mut alone, head).await;
        let second = statuses(&mut second, &[REQUEST, head].concat()).await;

        assert_eq!(alone, [status], "{}", String::from_utf8_lossy(head));
        assert_eq!(second, ["200", status], "{}", String::from_utf8_lossy(head));
    }
}

// A caller that stops within the body of its request is told so, and its connection ends.
#[tokio::test]
async fn body_that_comes_too_slowly_is_refused_at_the_timeout_of_its_route() {
    let mut fleet = start("slow_body").await;
    fleet.change_timeouts(Duration::from_secs(1), IDLE_TIMEOUT);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
    let request = CallerRequest {
        body: vec![b'x'; 20_000].into(),
        ..CallerRequest::plain(Method::POST, BID_PATH)
    };
    let bytes = request.encode("slow");
    let began = Instant::now();

    caller.write(&bytes[..bytes.len() - 10_000]).await.unwrap();
    let answer = read(&mut caller).await;

    assert_eq!(answer.status(), Some(StatusCode::REQUEST_TIMEOUT.as_u16()), "{answer:?}");
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
    assert!(fleet.runs_of("slow").is_empty());
}

// A request that the handler has answered must not be taken for one that is still to come.
#[tokio::test]
async fn failure_of_one_request_does_not_end_the_connection_of_the_next() {
    let handle = |request: Request<RequestBody>| async move {
        assert_ne!(request.uri().path(), "/panic", "a fault of the handler");
        answer(StatusCode::OK, 4)
    };
    let mut served = serve(handle).await;
    let mut chunk = vec![0; 4_096];

    served.caller.write_all(b"GET /panic HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    let count = served.caller.read(&mut chunk).await.unwrap();
    served.caller.write_all(REQUEST).await.unwrap();
    served.caller.shutdown().await.unwrap();
    let received = served.read_to_end().await;

    assert!(chunk[..count].starts_with(b"HTTP/1.1 502"), "{:?}", &chunk[..count]);
    assert!(received.starts_with("HTTP/1.1 200"), "{received}");
}

// A gateway without a descriptor for a connection to a server can still answer.
#[tokio::test]
async fn requests_without_a_descriptor_for_their_server_are_refused_for_now() {
    let fleet = start_with_descriptors("descriptors", 48).await;
    let address = fleet.gateways[0].caller_address;
    let mut caller = RawCaller::connect(address).await.unwrap();
    let before = send_each(&mut caller, "before", 1).await;
    let mut idle = Vec::new();
    for _ in 0..64 {
        idle.push(TcpStream::connect(address).await.unwrap());
    }
    tokio::time::sleep(SETTLE_TIME).await;

    let without = send_each(&mut caller, "without", 10).await;
    drop(idle);
    tokio::time::sleep(4 * SETTLE_TIME).await;
    let after = send_each(&mut caller, "after", 10).await;

    assert_eq!(before, [Some(200)]);
    assert_eq!(without, [Some(503); 10]);
    assert_eq!(after, [Some(200); 10]);
}

// A caller that reads nothing held its connection, and the memory of its response, without end.
#[tokio::test]
async fn connection_of_a_caller_that_stops_reading_ends() {
    let mut served = serve(succeed(LONG_RESPONSE_BYTES)).await;
    served.caller.write_all(REQUEST).await.unwrap();
    served.wait_for(|counts| counts.writing_response == 1).await;

    let closed = tokio::time::timeout(WAIT, served.connections.wait_until_closed()).await;
    let mut received = Vec::new();
    let read = tokio::time::timeout(WAIT, served.caller.read_to_end(&mut received)).await;

    assert!(closed.is_ok(), "{}", served.connections);
    assert!(read.is_ok() && received.len() < LONG_RESPONSE_BYTES, "{} bytes", received.len());
}

#[tokio::test]
async fn caller_that_reads_slowly_gets_its_whole_answer() {
    let mut served = serve(succeed(LONG_RESPONSE_BYTES)).await;
    served.caller.write_all(REQUEST).await.unwrap();
    let mut received = vec![0; LONG_RESPONSE_BYTES];

    for part in received.chunks_mut(LONG_RESPONSE_BYTES / 6) {
        tokio::time::sleep(WRITE_TIMEOUT / 2).await;
        served.caller.read_exact(part).await.unwrap();
    }
    served.caller.shutdown().await.unwrap();
    let rest = served.read_to_end().await;

    assert!(rest.ends_with("xxxx"), "{} bytes are left", rest.len());
}
