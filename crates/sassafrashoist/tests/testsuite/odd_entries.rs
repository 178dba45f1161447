//! Tests of entries in the topics of the log service that another writer has left there.

use std::path::{Path, PathBuf};
use std::time::Duration;

use http::Method;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::raw_server::{RawResponse, RawServer};
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    API_KEY, BID_PATH, EVENT_INTERVAL, FleetPlan, STATUS_PATH, StandInFleet,
};

/// How long a change in the log service may take to become active, with a margin for a slow
/// machine.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_200);
/// The depth at which a decoder that calls itself overflows its stack.
const NESTING_DEPTH: usize = 10_000;
const SERVERS_TOPIC: &str = "keyed.servers";
const CONFIG_TOPIC: &str = "keyed.op";
/// The line about an entry of the server list that names no server.
const ODD_ENTRY_LINE: &str = "server entry cannot be decoded";

async fn start(name: &str, plain_count: usize) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("odd_entries").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: 1,
        engine_count: 1,
        plain_count,
        paid_tokens: 1_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

fn bid() -> CallerRequest {
    CallerRequest::plain(Method::POST, BID_PATH)
}

fn nested(opening: &str, closing: &str) -> String {
    format!("{}{}", opening.repeat(NESTING_DEPTH), closing.repeat(NESTING_DEPTH))
}

fn entry(fields: &str) -> String {
    format!(
        r#"{{"backend":"desk","address":"127.0.0.1:9","zone":"plateau","version":"v1","batchSlots":8,
        "phase":"ready","warmupLeftMs":0,"sequence":1,"born":1{fields}}}"#
    )
}

/// Returns entries that name no server to use.
fn odd_entries() -> Vec<Vec<u8>> {
    let sound = entry("");
    let with = |from: &str, to: &str| {
        assert!(sound.contains(from));
        sound.replace(from, to)
    };
    let texts = vec![
        nested("[", "]"),
        nested("{\"a\":", "}"),
        "[".repeat(NESTING_DEPTH),
        with("\"desk\"", &nested("[", "]")),
        with(":8,", ":1e999,"),
        with(":8,", ":1180591620717411303424,"),
        with(":8,", ":-1,"),
        with(":8,", ":8.5,"),
        with(":8,", ":NaN,"),
        with("\"born\":1", "\"born\":-1"),
        with("\"born\":1", "\"born\":1180591620717411303424"),
        with(":9\"", ":0\""),
        with(":9\"", ":65536\""),
        with(":9\"", ":-1\""),
        with("127.0.0.1:9", "0.0.0.0:9"),
        with("127.0.0.1:9", "localhost:9"),
        with("\"127.0.0.1:9\"", "17"),
        with("\"ready\"", "\"resting\""),
        with("\"backend\":\"desk\",", ""),
        with("\"desk\"", "null"),
        "null".to_owned(),
        "x".repeat(1_000_000),
        with("\"v1\"", &format!("\"{}", "v".repeat(1_000_000))),
    ];
    let bytes = vec![b"\x00\xff".to_vec(), vec![0; 1_000]];
    texts.into_iter().map(String::into_bytes).chain(bytes).collect()
}

// Entries of another writer ended the processes that read the list, or stopped them from reading on.
#[tokio::test]
async fn odd_entries_hide_no_server_and_get_no_request() {
    let fleet = start("hide_no_server", 0).await;
    for (number, odd) in odd_entries().iter().enumerate() {
        fleet.log.write(SERVERS_TOPIC, &format!("odd-{number}"), odd);
    }
    fleet.log.write(SERVERS_TOPIC, "", entry("").as_bytes());
    let done = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nupstream-signature: s\r\n\
        content-length: 4\r\n\r\ndone";
    let server = RawServer::start(|_| RawResponse::at_once(done)).await.unwrap();
    fleet.list_server("desk", "sound", server.address);
    // The entries before it are several reads long.
    tokio::time::sleep(PROPAGATION_TIME * 3).await;

    for number in 0..20 {
        let response = fleet.send(0, &format!("b{number}"), &bid()).await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    }

    let log = fleet.gateways[0].read_log().unwrap();
    assert!(!log.contains("panicked"), "{log}");
    let uses = ["server listed", "request sent"];
    let used = log.lines().filter(|line| uses.iter().any(|text| line.contains(text)));
    assert_eq!(used.filter(|line| !line.contains("\"server\":\"sound\"")).count(), 1);
    assert_eq!(server.requests().len(), 20);
}

// Nobody saw the lines about such entries, which were written for debugging only.
#[tokio::test]
async fn each_odd_entry_is_logged_once_and_many_at_a_bounded_rate() {
    let fleet = start("logged", 1).await;

    fleet.log.write(SERVERS_TOPIC, "odd", b"{");
    tokio::time::sleep(PROPAGATION_TIME).await;
    fleet.trim_topics();
    fleet.log.write(SERVERS_TOPIC, "another", b"");
    tokio::time::sleep(PROPAGATION_TIME * 3).await;
    let after_one = fleet.gateways[0].read_log().unwrap().matches(ODD_ENTRY_LINE).count();
    for number in 0..500 {
        fleet.log.write(SERVERS_TOPIC, &format!("odd-{number}"), b"{");
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    let after_many = fleet.gateways[0].read_log().unwrap().matches(ODD_ENTRY_LINE).count();

    assert_eq!(after_one, 1);
    assert!((2..=60).contains(&after_many), "{after_many}");
}

// An entry that has become odd names no server to use; the next sound one does again.
#[tokio::test]
async fn server_whose_entry_has_become_odd_is_used_again_after_the_next_sound_one() {
    let fleet = start("becomes_odd", 2).await;
    let server = &fleet.plain_servers[0];
    let run_count = || server.executed_requests().len();

    send_bids(&fleet, "before").await;
    let before = run_count();
    fleet.log.write(SERVERS_TOPIC, &server.id, b"{\"backend\":");
    tokio::time::sleep(PROPAGATION_TIME).await;
    send_bids(&fleet, "odd").await;
    let while_odd = run_count();
    fleet.list_server("desk", &server.id, server.address());
    tokio::time::sleep(PROPAGATION_TIME).await;
    send_bids(&fleet, "after").await;

    assert!(before > 0);
    assert_eq!(while_odd, before);
    assert!(run_count() > while_odd);
}

async fn send_bids(fleet: &StandInFleet, name: &str) {
    for number in 0..20 {
        let response = fleet.send(0, &format!("{name}-{number}"), &bid()).await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Returns configurations that cannot be decoded, and some other values.
fn odd_configs() -> Vec<Vec<u8>> {
    let texts = vec![
        nested("[", "]"),
        nested("{\"routes\":", "}"),
        "{\"version\":1e999}".to_owned(),
        "{\"version\":1180591620717411303424}".to_owned(),
        "{\"version\":-1}".to_owned(),
        "null".to_owned(),
        "x".repeat(1_000_000),
    ];
    texts.into_iter().map(String::into_bytes).chain([b"\x00\xff".to_vec()]).collect()
}

// A configuration that cannot be decoded must not end the task that applies the next one.
#[tokio::test]
async fn odd_configurations_leave_the_active_one_and_the_next_sound_one_is_applied() {
    let mut fleet = start("odd_configs", 1).await;

    for odd in odd_configs() {
        fleet.log.write(CONFIG_TOPIC, "config", &odd);
        fleet.log.write(CONFIG_TOPIC, "other", &odd);
        tokio::time::sleep(PROPAGATION_TIME / 8).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    let kept = fleet.send(0, "b1", &bid()).await.unwrap();
    fleet.change_keys(&["another-key"]);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let changed = fleet.send(0, "b2", &bid()).await.unwrap();
    fleet.change_keys(&[API_KEY]);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let changed_back = fleet.send(0, "b3", &bid()).await.unwrap();

    assert_eq!((kept.status, changed.status, changed_back.status), (200, 401, 200));
    let log = fleet.gateways[0].read_log().unwrap();
    assert!(!log.contains("panicked"), "{log}");
}

// Values that can be decoded, but not added to a time or a count, ended the requests that used them.
#[tokio::test]
async fn requests_are_served_under_the_largest_values_of_a_configuration() {
    let fleet = start("largest_values", 1).await;
    let config = LARGEST_CONFIG;
    fleet.log.write(CONFIG_TOPIC, "config", config.as_bytes());
    tokio::time::sleep(PROPAGATION_TIME).await;

    let bid = fleet.send(0, "b1", &bid()).await.unwrap();
    let status = CallerRequest::plain(Method::GET, STATUS_PATH);
    let status = fleet.send(0, "s1", &status).await.unwrap();
    let chat = fleet.send(0, "c1", &CallerRequest::to_model("/chat/1", 900, 100)).await.unwrap();

    let log = fleet.gateways[0].read_log().unwrap();
    assert!(log.contains("\"version\":1000000"), "{log}");
    assert!(!log.contains("panicked"), "{log}");
    assert_eq!((bid.status, status.status, chat.status), (200, 200, 200), "{log}");
    assert!(chat.is_complete(), "{chat:?}");
}

const LARGEST_CONFIG: &str = r#"{"version":1000000,"routes":[
 {"name":"bid","hostname":"desk.example","pathPrefix":"/bid/","routeType":"non_idempotent",
  "timeoutMs":1.8e19,"targetLatencyMs":1.8e19,"priorityClass":255,"maxAttempts":4294967295,
  "weightedBackends":[{"backend":"desk","weight":4294967295},{"backend":"desk","weight":4294967295}]},
 {"name":"status","hostname":"desk.example","pathPrefix":"/status/","routeType":"idempotent",
  "timeoutMs":1e300,"targetLatencyMs":1e300,"backend":"desk","maxAttempts":4294967295},
 {"name":"chat","hostname":"desk.example","pathPrefix":"/chat/","routeType":"streaming",
  "timeoutMs":1.8e19,"targetLatencyMs":0,"backend":"llm"}],
 "backends":[{"name":"llm","runtime":{"interval":18446744073709551615}},{"name":"desk"}],
 "limits":{"maxHeaderBytes":18446744073709551615,"maxBodyBytes":18446744073709551615,
  "headerTimeoutMs":1.8e19,"idleTimeoutMs":1.8e19},
 "tenants":[{"name":"workshop","apiKeys":["key-of-the-workshop"],"reserved":18446744073709551615}]}"#;
