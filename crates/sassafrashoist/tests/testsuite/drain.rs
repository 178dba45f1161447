//! Tests of what callers get from a gateway that drains.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sassafrashoist_platform_stand_in::log_service::LogFault;
use sassafrashoist_platform_stand_in::raw_server::{RawEnd, RawResponse, RawServer};
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    API_KEY, BID_PATH, EVENT_INTERVAL, FleetPlan, HOST, StandInFleet,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long a change in the log service may take to become active, with a margin for a slow
/// machine.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// The time that the log service takes for each call while tokens are returned. Returning them
/// takes two calls, a read and an append.
const LOG_DELAY: Duration = Duration::from_millis(250);
/// The time that a server runs a request, longer than returning the tokens takes.
const RUN_TIME: Duration = Duration::from_millis(700);
/// The deadline of a request, which the rest of the shutdown grace period covers.
const DEADLINE: Duration = Duration::from_millis(1_200);
/// Time between two checks whether a gateway still accepts connections.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The longest that a caller waits.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a gateway with one server of the plain service, which runs each request for a time and
/// answers it with a body.
async fn start(name: &str, run_time: Duration, body: String) -> (StandInFleet, RawServer) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("drain").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: 1,
        engine_count: 1,
        plain_count: 0,
        paid_tokens: 100_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    let fleet = StandInFleet::start(program, &folder, plan).await.unwrap();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {{id}}\r\nupstream-signature: raw\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let server = RawServer::start(move |_| RawResponse {
        writes: vec![(run_time, answer.clone())],
        end: RawEnd::StaysOpen,
    })
    .await
    .unwrap();
    fleet.list_server("desk", "raw", server.address);
    tokio::time::sleep(PROPAGATION_TIME).await;
    (fleet, server)
}

/// Returns the bytes of a request that may run at most once.
fn bid_bytes(id: &str, deadline: Duration) -> String {
    format!(
        "POST {BID_PATH} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: {}\r\n\
         authorization: Token {API_KEY}\r\ncontent-length: 5\r\n\r\na bid",
        deadline.as_millis()
    )
}

/// Waits until a gateway accepts no connections any more.
async fn wait_until_listener_closed(address: SocketAddr) {
    let closed = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(CALLER_TIMEOUT, closed).await.unwrap();
}

/// Returns what a caller receives until its connection ends.
async fn read_to_end(mut connection: TcpStream) -> String {
    let mut received = Vec::new();
    let read = tokio::time::timeout(CALLER_TIMEOUT, connection.read_to_end(&mut received)).await;
    match read.unwrap() {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
        Err(error) => panic!("connection failed: {error}"),
    }
    String::from_utf8_lossy(&received).into_owned()
}

// A gateway did not count a request before its head was complete. It returned its tokens and exited
// while a server ran the request.
#[tokio::test]
async fn request_whose_head_ends_after_the_listener_closed_is_answered() {
    let (mut fleet, server) = start("late_head", RUN_TIME, "done".to_owned()).await;
    let address = fleet.gateways[0].caller_address;
    let request = bid_bytes("late-head", DEADLINE);
    let (first_part, rest) = request.split_at(10);
    let mut connection = TcpStream::connect(address).await.unwrap();
    connection.write_all(first_part.as_bytes()).await.unwrap();

    fleet.log.set_fault(LogFault::LateFirstByte { delay: LOG_DELAY });
    fleet.gateways[0].terminate().unwrap();
    wait_until_listener_closed(address).await;
    connection.write_all(rest.as_bytes()).await.unwrap();
    let response = read_to_end(connection).await;
    let end = fleet.gateways[0].wait_for_exit().await.unwrap();

    let log = fleet.gateways[0].read_log().unwrap();
    assert_eq!(server.requests().len(), 1, "{log}");
    assert!(response.starts_with("HTTP/1.1 200 OK"), "{response:?}; {log}");
    assert!(response.ends_with("done"), "{response:?}; {log}");
    assert!(end.success());
}
