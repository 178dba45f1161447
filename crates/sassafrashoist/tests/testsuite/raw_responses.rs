//! Tests of responses that a sound backend server would not write.

use std::path::{Path, PathBuf};
use std::time::Duration;

use futures::{StreamExt, stream};
use http::Method;
use sassafrashoist_platform_stand_in::backend_server::{ServerFault, event_text};
use sassafrashoist_platform_stand_in::caller::{BodyEnd, CallerRequest, CallerResponse};
use sassafrashoist_platform_stand_in::http_listener::PathFault;
use sassafrashoist_platform_stand_in::raw_server::{RawRequest, RawResponse, RawServer};
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    BID_PATH, DRAFT_PATH, EVENT_COUNT, EVENT_INTERVAL, FleetPlan, STATUS_PATH, StandInFleet,
};

/// How long a change in the log service may take to become active, with a margin for a slow
/// machine.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// The time after which a gateway that lost its paths reaches servers through another one.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The fleets that run concurrently in a test of many cases.
const CONCURRENT_FLEETS: usize = 4;
/// The headers of every response of a server.
const SERVER_HEADERS: &str = "request-id: {id}\r\nupstream-signature: raw\r\n";
/// A server that has not run a request says so.
const NOT_RUN: &str = "HTTP/1.1 503 Service Unavailable\r\nrequest-id: {id}\r\nnot-executed: 1\r\n\
    content-length: 0\r\n\r\n";

async fn start(name: &str, gateway_count: usize, engine_count: usize) -> StandInFleet {
    start_with_paths(name, gateway_count, engine_count, false).await
}

async fn start_with_paths(
    name: &str,
    gateway_count: usize,
    engine_count: usize,
    has_own_paths: bool,
) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("raw_responses").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count,
        engine_count,
        plain_count: 0,
        paid_tokens: 1_000_000,
        has_own_paths,
        event_interval: EVENT_INTERVAL,
    };
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

/// Starts gateways of which the first one has lost its paths and reaches servers through the others.
async fn start_without_paths(name: &str) -> StandInFleet {
    let fleet = start_with_paths(name, 3, 2, true).await;
    // The requests before the streams may use up the retry limit, and no stream would be resumed.
    fleet.gateways[0].add_setting("bounds.budgetSlack=1000000").unwrap();
    fleet.gateways[0].reload_settings().await.unwrap();
    fleet.set_path_fault(0, PathFault::RefusesNew);
    fleet.engines.iter().for_each(|engine| engine.set_fault(ServerFault::Overloaded));
    let mut number = 0;
    let contact = async {
        loop {
            number += 1;
            fleet.send(0, &format!("early-{number}"), &draft()).await.unwrap();
        }
    };
    assert!(tokio::time::timeout(CONTACT_TIME, contact).await.is_err());
    fleet
}

async fn list(fleet: &StandInFleet, pool: &str, server: &RawServer) {
    fleet.list_server(pool, "raw", server.address);
    tokio::time::sleep(PROPAGATION_TIME).await;
}

fn draft() -> CallerRequest {
    CallerRequest::to_model(DRAFT_PATH, 900, 100)
}

fn events(numbers: impl IntoIterator<Item = u64>) -> String {
    numbers.into_iter().map(event_text).collect()
}

fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{SERVER_HEADERS}{headers}\r\n{body}")
}

fn with_length(status: &str, headers: &str, body: &str) -> RawResponse {
    let headers = format!("{headers}content-length: {}\r\n", body.len());
    RawResponse::at_once(&response(status, &headers, body))
}

fn in_chunks(status: &str, headers: &str, body: &str) -> RawResponse {
    let headers = format!("{headers}transfer-encoding: chunked\r\n");
    let chunk =
        if body.is_empty() { String::new() } else { format!("{:x}\r\n{body}\r\n", body.len()) };
    RawResponse::at_once(&response(status, &headers, &format!("{chunk}0\r\n\r\n")))
}

fn until_close(status: &str, headers: &str, body: &str) -> RawResponse {
    RawResponse::closing(&response(status, headers, body))
}

/// Starts a server that runs only requests that resume a stream, and answers them as planned.
async fn start_resuming_server(resumed: RawResponse) -> RawServer {
    let respond = move |request: &RawRequest| match request.header("last-event-id") {
        Some(_) => resumed.clone(),
        None => RawResponse::at_once(NOT_RUN),
    };
    RawServer::start(respond).await.unwrap()
}

/// Answers to a request that resumes a stream after its second event, none of which goes on with it.
fn answers_that_do_not_go_on() -> Vec<(&'static str, RawResponse)> {
    let error = "event: error\ndata: overloaded\n\n";
    let text = "content-type: text/plain\r\n";
    let head_inside = format!(
        "{}HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nerror",
        events([3])
    );
    vec![
        ("500", with_length("500 Internal Server Error", "", error)),
        ("500_until_close", until_close("500 Internal Server Error", "", error)),
        ("503", with_length("503 Service Unavailable", "", error)),
        ("404", with_length("404 Not Found", "", error)),
        ("404_in_chunks", in_chunks("404 Not Found", "", error)),
        ("error_text", with_length("200 OK", text, "overloaded\n\n")),
        ("error_event", with_length("200 OK", "", error)),
        ("error_event_until_close", until_close("200 OK", "", error)),
        ("json", with_length("200 OK", "content-type: application/json\r\n", "{\"id\":3}\n\n")),
        ("other_type", in_chunks("200 OK", text, &events(3..=EVENT_COUNT))),
        ("204", RawResponse::at_once(&response("204 No Content", "", ""))),
        ("206", with_length("206 Partial Content", "", &events(3..=EVENT_COUNT))),
        ("from_first", in_chunks("200 OK", "", &events(1..=EVENT_COUNT))),
        ("skips", in_chunks("200 OK", "", &events(5..=EVENT_COUNT))),
        ("status_000", with_length("000 None", "", &events(3..=EVENT_COUNT))),
        ("status_600", with_length("600 None", "", &events(3..=EVENT_COUNT))),
        ("empty", with_length("200 OK", "", "")),
        ("empty_in_chunks", in_chunks("200 OK", "", "")),
        ("empty_until_close", until_close("200 OK", "", "")),
        ("head_inside", until_close("200 OK", "", &head_inside)),
    ]
}

/// Returns whether a response is cut off after events of the server that began it.
fn ends_after_its_own_events(response: &CallerResponse) -> bool {
    let body = String::from_utf8_lossy(&response.body);
    let own = [events(1..=2), events(1..=3)];
    (response.status, response.end) == (200, BodyEnd::Aborted) && own.contains(&body.to_string())
}

// The text of an error, a response head or another run's events were joined to a stream that had
// broken off, or the stream ended as if it were complete.
#[tokio::test]
async fn stream_that_broke_off_is_not_joined_with_an_answer_that_does_not_go_on() {
    let faults = [ServerFault::DisconnectsAfter(2), ServerFault::CloseDelimitedResetsAfter(2)];
    let cases = faults.into_iter().flat_map(|fault| {
        answers_that_do_not_go_on().into_iter().map(move |(name, answer)| (fault, name, answer))
    });
    let runs = cases.enumerate().map(|(number, (fault, name, answer))| async move {
        let fleet = start(&format!("not_joined_{number}"), 1, 1).await;
        fleet.engines[0].set_fault(fault);
        let server = start_resuming_server(answer).await;
        list(&fleet, "llm", &server).await;
        let response = fleet.send(0, "d1", &draft()).await.unwrap();
        let requests = server.requests();
        let resumed = requests.iter().filter(|r| r.header("last-event-id").is_some()).count();
        (fault, name, resumed, response)
    });

    let runs: Vec<_> = stream::iter(runs).buffer_unordered(CONCURRENT_FLEETS).collect().await;

    let failures: Vec<_> = runs
        .iter()
        .filter(|(_, _, resumed, response)| *resumed != 1 || !ends_after_its_own_events(response))
        .collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

// The same for a stream that reaches its VM through another one.
#[tokio::test]
async fn stream_through_another_vm_is_not_joined_with_an_answer_that_does_not_go_on() {
    let fleet = start_without_paths("through_another_vm").await;
    let server =
        start_resuming_server(with_length("200 OK", "", "event: error\ndata: x\n\n")).await;
    // A stream that breaks off at the other engine can only go on at the server.
    fleet.unlist_engine(1);
    list(&fleet, "llm", &server).await;
    fleet.engines.iter().for_each(|engine| engine.set_fault(ServerFault::DisconnectsAfter(2)));

    let mut responses = Vec::new();
    for number in 0..6 {
        responses.push(fleet.send(0, &format!("d{number}"), &draft()).await.unwrap());
    }

    let log = fleet.gateways[1].read_log().unwrap() + &fleet.gateways[2].read_log().unwrap();
    assert!(log.contains("connection for another VM"));
    let has_joined = |response: &CallerResponse| {
        let body = String::from_utf8_lossy(&response.body);
        body.contains("error") || (response.status == 200 && response.is_complete())
    };
    assert!(responses.iter().any(|response| response.status == 200), "{responses:?}");
    assert!(server.requests().iter().any(|request| request.header("last-event-id").is_some()));
    assert!(!responses.iter().any(has_joined), "{responses:?}");
}

// An answer that goes on is still taken, whatever its framing.
#[tokio::test]
async fn stream_that_broke_off_goes_on_with_the_events_that_follow() {
    let rest = events(3..=EVENT_COUNT);
    let commented = format!(": resumed\n\n{rest}");
    for (name, answer) in [
        ("length", with_length("200 OK", "", &rest)),
        ("chunks", in_chunks("200 OK", "", &rest)),
        ("close", until_close("200 OK", "", &rest)),
        ("comment", in_chunks("200 OK", "", &commented)),
    ] {
        let fleet = start(&format!("goes_on_{name}"), 1, 1).await;
        fleet.engines[0].set_fault(ServerFault::DisconnectsAfter(2));
        let server = start_resuming_server(answer).await;
        list(&fleet, "llm", &server).await;

        let response = fleet.send(0, "d1", &draft()).await.unwrap();

        let body = String::from_utf8_lossy(&response.body).replace(": resumed\n\n", "");
        assert_eq!(body, events(1..=EVENT_COUNT), "{name}: {response:?}");
        assert_eq!(response.is_complete(), name != "close", "{name}: {response:?}");
    }
}

// A caller that resumes its stream at another VM joins what it gets there to what it has.
#[tokio::test]
async fn stream_that_its_caller_resumes_does_not_begin_again() {
    let fleet = start("begins_again", 2, 1).await;
    fleet.engines[0].set_fault(ServerFault::DisconnectsAfter(2));
    let begun = fleet.send(0, "d1", &draft()).await.unwrap();
    fleet.engines[0].set_fault(ServerFault::Overloaded);
    let server = start_resuming_server(in_chunks("200 OK", "", &events(1..=EVENT_COUNT))).await;
    list(&fleet, "llm", &server).await;
    let headers = vec![("last-event-id", "2".to_owned()), ("resumes", "d1".to_owned())];

    let resumed = fleet.send(1, "d2", &CallerRequest { headers, ..draft() }).await.unwrap();

    assert_eq!(String::from_utf8_lossy(&begun.body), events(1..=2));
    assert_eq!(String::from_utf8_lossy(&resumed.body), "", "{resumed:?}");
    assert_ne!((resumed.status, resumed.end), (200, BodyEnd::Complete), "{resumed:?}");
}

/// Answers in which a refusal of another request comes first.
fn refusals_of_other_requests() -> Vec<(&'static str, String)> {
    let refusal = |status: &str| {
        format!(
            "HTTP/1.1 {status}\r\nrequest-id: another\r\nnot-executed: 1\r\nretry-after: 1\r\n\
             content-length: 0\r\n\r\n"
        )
    };
    vec![
        ("503", refusal("503 Service Unavailable")),
        ("429", refusal("429 Too Many Requests")),
        ("421", refusal("421 Misdirected Request")),
        ("408", refusal("408 Request Timeout")),
    ]
}

// A server that writes an earlier refusal once more does not say that this request has not run.
#[tokio::test]
async fn refusal_of_another_request_does_not_count_as_not_run() {
    for (name, refusal) in refusals_of_other_requests() {
        let fleet = start(&format!("refusal_{name}"), 1, 0).await;
        let own = response("200 OK", "content-length: 4\r\n", "done");
        let text = format!("{refusal}{own}");
        let servers = [
            RawServer::start({
                let text = text.clone();
                move |_| RawResponse::at_once(&text)
            })
            .await
            .unwrap(),
            RawServer::start(move |_| RawResponse::at_once(&text)).await.unwrap(),
        ];
        fleet.list_server("desk", "raw-0", servers[0].address);
        fleet.list_server("desk", "raw-1", servers[1].address);
        tokio::time::sleep(PROPAGATION_TIME).await;

        let bid = CallerRequest::plain(Method::POST, BID_PATH);
        let answered = fleet.send(0, "b1", &bid).await.unwrap();

        let run_count: usize = servers.iter().map(|server| server.requests().len()).sum();
        assert_eq!((answered.status, run_count), (502, 1), "{name}: {answered:?}");
    }
}

// Bytes after a response, such as a second refusal, must not reach the next request.
#[tokio::test]
async fn connections_to_servers_are_not_used_again() {
    let fleet = start("not_used_again", 1, 0).await;
    let own = response("200 OK", "content-length: 4\r\n", "done");
    let text = format!("{own}{NOT_RUN}");
    let server = RawServer::start(move |_| RawResponse::at_once(&text)).await.unwrap();
    list(&fleet, "desk", &server).await;

    for number in 0..10 {
        let request = match number % 2 {
            0 => CallerRequest::plain(Method::POST, BID_PATH),
            _ => CallerRequest::plain(Method::GET, STATUS_PATH),
        };
        let answered = fleet.send(0, &format!("r{number}"), &request).await.unwrap();

        assert_eq!((answered.status, answered.body.as_ref()), (200, b"done".as_slice()));
    }

    assert_eq!((server.connection_count(), server.requests().len()), (10, 10));
}

/// Statuses for which HTTP defines no class, or that are no number of three digits.
const NO_STATUSES: [&str; 9] = ["000", "001", "099", "600", "777", "999", "1000", "20", "abc"];

/// Starts a server whose signed responses have this status.
async fn start_server_with_status(status: &'static str) -> RawServer {
    RawServer::start(move |_| with_length(status, "", "done")).await.unwrap()
}

// A caller got a response of a server in trouble whose status was 000, as an answer.
#[tokio::test]
async fn responses_without_a_status_of_http_are_no_answers() {
    let runs = NO_STATUSES.iter().map(|status| async move {
        let fleet = start(&format!("status_{status}"), 1, 0).await;
        let servers =
            [start_server_with_status(status).await, start_server_with_status(status).await];
        fleet.list_server("llm", "raw-llm", servers[0].address);
        list(&fleet, "desk", &servers[1]).await;
        let bid = CallerRequest::plain(Method::POST, BID_PATH);
        let reading = CallerRequest::plain(Method::GET, STATUS_PATH);
        let mut responses = Vec::new();
        for (id, request) in [("b1", bid), ("s1", reading), ("d1", draft())] {
            responses.push(fleet.send(0, id, &request).await.unwrap().status);
        }
        (status, responses)
    });

    let runs: Vec<_> = stream::iter(runs).buffer_unordered(CONCURRENT_FLEETS).collect().await;

    for (status, responses) in runs {
        assert_eq!(responses, [502, 502, 502], "{status}");
    }
}

#[tokio::test]
async fn responses_through_another_vm_without_a_status_of_http_are_no_answers() {
    let fleet = start_without_paths("status_through_another_vm").await;
    let servers = [start_server_with_status("000").await, start_server_with_status("600").await];
    fleet.unlist_engine(0);
    fleet.unlist_engine(1);
    fleet.list_server("llm", "raw-0", servers[0].address);
    list(&fleet, "llm", &servers[1]).await;

    let mut statuses = Vec::new();
    for number in 0..4 {
        statuses.push(fleet.send(0, &format!("d{number}"), &draft()).await.unwrap().status);
    }

    let request_count: usize = servers.iter().map(|server| server.requests().len()).sum();
    assert!(request_count > 0, "{statuses:?}");
    assert!(statuses.iter().all(|status| [502, 503].contains(status)), "{statuses:?}");
}
