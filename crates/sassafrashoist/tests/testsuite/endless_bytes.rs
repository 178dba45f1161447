//! Tests of servers and callers that send bytes without end.
//!
//! A task that always finds bytes to read would keep the only thread of a gateway, and a connection
//! that is read to its deadline would keep the memory and the slot of its request until then.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use sassafrashoist::gateway::send_message::send_message;
use sassafrashoist_platform_stand_in::caller::{CallerRequest, CallerResponse, send};
use sassafrashoist_platform_stand_in::endless_server::EndlessServer;
use sassafrashoist_platform_stand_in::http_listener::PathFault;
use sassafrashoist_platform_stand_in::raw_answer::AnswerEnd;
use sassafrashoist_platform_stand_in::raw_caller::RawCaller;
use sassafrashoist_platform_stand_in::raw_server::{RawEnd, RawResponse, RawServer};
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    API_KEY, BID_PATH, DRAFT_PATH, EVENT_INTERVAL, FleetPlan, HOST, IDLE_TIMEOUT, STATUS_PATH,
    StandInFleet,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::log_client::client_at;

const PROMPT_TOKENS: u64 = 900;
const OUTPUT_TOKENS: u64 = 100;
/// How long a change in the log service may take to become active.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// The time for which answers of other callers are counted.
const WINDOW: Duration = Duration::from_secs(3);
/// Callers of sound servers.
const OTHER_CALLER_COUNT: usize = 4;
/// Time between two of their requests.
const OTHER_DELAY: Duration = Duration::from_millis(20);
/// Callers of faulty servers.
const FAULTY_CALLER_COUNT: usize = 32;
/// The gateway of the faulty exchanges.
const BESIDE: usize = 0;
/// The gateway without them.
const CALM: usize = 1;
/// The time for a long answer, which is cut off at its deadline only.
const LONG_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// When a request to a faulty server has ended, well before its deadline of 3 s.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(2);

const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nupstream-signature: s\r\ntransfer-encoding: chunked\r\n\r\n";
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nupstream-signature: s\r\n\r\n";
const FIRST_EVENT: &str = "id: 1\ndata: part 1\n\n";

/// What faulty servers send without end.
struct Case {
    name: &'static str,
    start: String,
    pattern: &'static str,
    /// The words of the log line about it.
    logged: &'static str,
}

fn case(name: &'static str, start: &str, pattern: &'static str, logged: &'static str) -> Case {
    Case { name, start: start.to_owned(), pattern, logged }
}

fn status() -> CallerRequest {
    CallerRequest::plain(Method::GET, STATUS_PATH)
}

fn draft() -> CallerRequest {
    CallerRequest::to_model(DRAFT_PATH, PROMPT_TOKENS, OUTPUT_TOKENS)
}

fn plan() -> FleetPlan {
    FleetPlan {
        gateway_count: 2,
        engine_count: 0,
        plain_count: 2,
        paid_tokens: 100_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    }
}

async fn start(name: &str, plan: FleetPlan) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("endless_bytes").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

/// Returns the number of answers that callers of sound servers get from a gateway within [`WINDOW`].
async fn count_answers(fleet: &StandInFleet, gateway: usize) -> usize {
    let address = fleet.gateways[gateway].caller_address;
    let answered = Arc::<AtomicUsize>::default();
    let mut callers = JoinSet::new();
    for caller in 0..OTHER_CALLER_COUNT {
        let answered = Arc::clone(&answered);
        callers.spawn(async move {
            for number in 0.. {
                let id = format!("o{gateway}-{caller}-{number}");
                let response = send(address, &id, &status()).await;
                if response.is_ok_and(|response| response.status == 200) {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
                tokio::time::sleep(OTHER_DELAY).await;
            }
        });
    }
    tokio::time::sleep(WINDOW).await;
    answered.load(Ordering::Relaxed)
}

/// The answers that callers of sound servers got meanwhile.
#[derive(Debug)]
struct OtherAnswers {
    /// From the gateway that also has the faulty exchanges.
    beside_count: usize,
    /// From the other gateway.
    calm_count: usize,
}

impl OtherAnswers {
    async fn count(fleet: &StandInFleet) -> Self {
        let (beside_count, calm_count) =
            tokio::join!(count_answers(fleet, BESIDE), count_answers(fleet, CALM));
        Self { beside_count, calm_count }
    }

    fn assert_half(&self, name: &str) {
        assert!(2 * self.beside_count >= self.calm_count, "{name}: {self:?}");
    }
}

/// What became of a request to a faulty server.
struct Exchange {
    took: Duration,
    response: CallerResponse,
}

/// What one case shows.
struct Outcome {
    others: OtherAnswers,
    exchanges: Vec<Exchange>,
    log: String,
}

impl Outcome {
    fn longest(&self) -> Duration {
        self.exchanges.iter().map(|exchange| exchange.took).max().unwrap_or_default()
    }

    fn statuses(&self) -> BTreeMap<u16, usize> {
        let mut counts = BTreeMap::new();
        for exchange in &self.exchanges {
            *counts.entry(exchange.response.status).or_default() += 1;
        }
        counts
    }

    /// Returns whether a line names a faulty server and has these words.
    fn is_logged(&self, words: &str) -> bool {
        self.log.lines().any(|line| line.contains("endless-") && line.contains(words))
    }
}

/// Sends a request of each faulty caller at once.
async fn send_to_faulty_servers(fleet: &StandInFleet) -> Vec<Exchange> {
    let address = fleet.gateways[BESIDE].caller_address;
    let mut callers = JoinSet::new();
    for caller in 0..FAULTY_CALLER_COUNT {
        callers.spawn(async move {
            let began = Instant::now();
            let response = send(address, &format!("f{caller}"), &draft()).await.unwrap();
            Exchange { took: began.elapsed(), response }
        });
    }
    callers.join_all().await
}

async fn play(fleet: &StandInFleet, case: &Case) -> Outcome {
    let ids = ["a", "b"].map(|name| format!("endless-{}-{name}", case.name));
    let mut servers = Vec::new();
    for id in &ids {
        let server = EndlessServer::start_repeating(case.start.clone(), case.pattern.as_bytes());
        let server = server.await.unwrap();
        fleet.list_server("llm", id, server.address);
        servers.push(server);
    }
    let logged_bytes = fleet.gateways[BESIDE].read_log().unwrap().len();
    tokio::time::sleep(PROPAGATION_TIME).await;
    let (others, exchanges) =
        tokio::join!(OtherAnswers::count(fleet), send_to_faulty_servers(fleet));
    ids.iter().for_each(|id| fleet.unlist_server(id));
    let log = fleet.gateways[BESIDE].read_log().unwrap().split_off(logged_bytes);
    let outcome = Outcome { others, exchanges, log };
    let (others, longest) = (&outcome.others, outcome.longest());
    println!("{}: {others:?}, longest {longest:?}, {:?}", case.name, outcome.statuses());
    outcome
}

/// Plays cases whose requests fail before any of their answer was forwarded.
async fn assert_given_up(name: &str, cases: &[Case]) {
    let fleet = start(name, plan()).await;
    for case in cases {
        let outcome = play(&fleet, case).await;

        let name = case.name;
        outcome.others.assert_half(name);
        assert!(outcome.longest() < GIVEN_UP_WITHIN, "{name}: {:?}", outcome.longest());
        let statuses = outcome.statuses();
        assert!(statuses.contains_key(&502), "{name}: {statuses:?}");
        assert!(statuses.keys().all(|status| [502, 503].contains(status)), "{name}: {statuses:?}");
        assert!(outcome.is_logged(case.logged), "{name}: no line with {:?}", case.logged);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end_do_not_keep_a_gateway_busy() {
    let head = "HTTP/1.1 200 OK\r\nupstream-signature: s\r\n";
    assert_given_up(
        "heads",
        &[
            case("interim", "", "HTTP/1.1 102 Processing\r\n\r\n", "without a response"),
            case("head-line", "HTTP/1.1 200 ", "x", "connection lost"),
            case("header-lines", head, "a: b\r\n", "connection lost"),
            case("one-header", &format!("{head}a: "), "x", "connection lost"),
            case("empty-lines", "", "\r\n", "connection lost"),
        ],
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn framing_without_end_does_not_keep_a_gateway_busy() {
    let error_head = CHUNKED_HEAD.replace("200 OK", "404 Not Found");
    let failure_head = CHUNKED_HEAD.replace("200 OK", "500 Internal Server Error");
    let broken_off = "broken off";
    assert_given_up(
        "framing",
        &[
            case("size-of-stream", CHUNKED_HEAD, "0", "without data of the body"),
            case("size-of-answer", &error_head, "0", "without data of the body"),
            case("size-of-failure", &failure_head, "0", "without data of the body"),
            case("extension", &format!("{CHUNKED_HEAD}5;"), "x", broken_off),
            case("trailer", &format!("{error_head}0\r\n"), "a: b\r\n", broken_off),
        ],
    )
    .await;
}

/// Plays cases whose stream has begun, so that its response is aborted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_without_end_do_not_keep_a_gateway_busy() {
    let no_event = "without a new event";
    let cases = [
        case("comments", &format!("{UNFRAMED_HEAD}{FIRST_EVENT}"), ": x\n\n", no_event),
        case("no-events", &format!("{UNFRAMED_HEAD}{FIRST_EVENT}"), "\n\n", no_event),
        case("comments-first", UNFRAMED_HEAD, ": x\n\n", no_event),
        case("repeated", &format!("{UNFRAMED_HEAD}{FIRST_EVENT}"), FIRST_EVENT, no_event),
        case("one-event", &format!("{UNFRAMED_HEAD}{FIRST_EVENT}"), "data: x\n", "event too long"),
    ];
    let fleet = start("events", plan()).await;
    for case in cases {
        let outcome = play(&fleet, &case).await;

        outcome.others.assert_half(case.name);
        assert!(outcome.longest() < GIVEN_UP_WITHIN, "{}: {:?}", case.name, outcome.longest());
        let responses = outcome.exchanges.iter().map(|exchange| &exchange.response);
        let mut streams = responses.filter(|response| response.status == 200).peekable();
        assert!(streams.peek().is_some(), "{}: no stream began", case.name);
        assert!(!streams.any(CallerResponse::is_complete), "{}: a stream looks whole", case.name);
        assert!(outcome.is_logged(case.logged), "{}: no line with {:?}", case.name, case.logged);
    }
}

async fn start_plain(name: &str, plain_count: usize) -> StandInFleet {
    start(name, FleetPlan { plain_count, ..plan() }).await
}

// A request that may run only once has no other server, and its caller learns that at once.
#[tokio::test]
async fn request_that_may_run_once_fails_at_once_at_a_server_without_end() {
    let fleet = start_plain("once", 0).await;
    let server = EndlessServer::start_repeating(CHUNKED_HEAD.to_owned(), b"0").await.unwrap();
    fleet.list_server("desk", "endless", server.address);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let began = Instant::now();

    let response =
        fleet.send(0, "b1", &CallerRequest::plain(Method::POST, BID_PATH)).await.unwrap();

    assert_eq!((response.status, server.request_count()), (502, 1), "{response:?}");
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}

// A server that sends bytes without end fails each request, and must not keep getting its share.
#[tokio::test]
async fn server_without_end_is_left_alone_while_others_are_sound() {
    let fleet = start_plain("left_alone", 2).await;
    let server = EndlessServer::start_repeating(CHUNKED_HEAD.to_owned(), b"0").await.unwrap();
    fleet.list_server("desk", "endless", server.address);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let mut statuses = Vec::new();
    for number in 0..200 {
        let response = fleet.send(0, &format!("s{number}"), &status()).await.unwrap();
        statuses.push(response.status);
    }

    let served_count = statuses.iter().filter(|status| **status == 200).count();
    println!("{served_count} served, {} requests at the faulty server", server.request_count());
    assert!(served_count >= 198, "{statuses:?}");
    assert!((1..=8).contains(&server.request_count()), "{}", server.request_count());
}

/// Lists a server that responds to each request with these writes.
async fn start_server(name: &str, writes: Vec<String>) -> (StandInFleet, RawServer) {
    let fleet = start_plain(name, 0).await;
    let writes = writes.into_iter().map(|text| (Duration::ZERO, text)).collect();
    let response = RawResponse { writes, end: RawEnd::StaysOpen };
    let server = RawServer::start(move |_| response.clone()).await.unwrap();
    fleet.list_server("desk", "raw", server.address);
    tokio::time::sleep(PROPAGATION_TIME).await;
    (fleet, server)
}

/// Returns the writes of a response with a body of this length in chunks of one length.
fn chunked_answer(chunk_bytes: usize, body_bytes: usize) -> Vec<String> {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let write_bytes = body_bytes.min(65_536);
    let write = chunk.repeat(write_bytes / chunk_bytes);
    let mut writes = vec![write; body_bytes / write_bytes];
    writes.insert(0, CHUNKED_HEAD.to_owned());
    writes.push("0\r\n\r\n".to_owned());
    writes
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_answers_in_large_and_small_chunks_are_whole() {
    let cases = [("large", 65_536, 33_554_432), ("small", 1_024, 33_554_432), ("tiny", 1, 65_536)];
    for (name, chunk_bytes, body_bytes) in cases {
        let writes = chunked_answer(chunk_bytes, body_bytes);
        let (mut fleet, _server) = start_server(&format!("long_{name}"), writes).await;
        fleet.change_timeouts(LONG_ANSWER_TIMEOUT, IDLE_TIMEOUT);
        tokio::time::sleep(PROPAGATION_TIME).await;
        let request = CallerRequest { timeout: LONG_ANSWER_TIMEOUT, ..status() };

        let response = fleet.send(0, "s1", &request).await.unwrap();

        assert_eq!((response.status, response.body.len()), (200, body_bytes), "{name}");
        assert!(response.is_complete(), "{name}");
    }
}

#[tokio::test]
async fn long_answer_to_a_slow_caller_is_whole() {
    let body_bytes = 8_388_608;
    let (fleet, _server) = start_server("slow", chunked_answer(4_096, body_bytes)).await;
    let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
    let request = CallerRequest { timeout: Duration::from_secs(5), ..status() };
    caller.write(&request.encode("s1")).await.unwrap();

    let answer = caller.read_answer_slowly(4_000_000).await;

    assert_eq!(answer.end, AnswerEnd::Complete);
    assert!(answer.body.len() >= body_bytes, "{}", answer.body.len());
}

#[tokio::test]
async fn answer_after_interim_responses_is_served() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\
        link: </a>\r\n\r\n";
    let mut writes = chunked_answer(4, 4);
    writes.insert(0, interim.to_owned());
    let (fleet, _server) = start_server("interim", writes).await;

    let response = fleet.send(0, "s1", &status()).await.unwrap();

    assert_eq!((response.status, response.body.as_ref()), (200, b"xxxx".as_slice()));
}

/// The head of a request whose body comes in chunks.
fn chunked_request(id: &str) -> String {
    format!(
        "POST {BID_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         Authorization: Token {API_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

#[tokio::test]
async fn long_prompt_in_small_chunks_is_served() {
    let fleet = start_plain("small_chunks", 1).await;
    let mut caller = RawCaller::connect(fleet.gateways[0].caller_address).await.unwrap();
    let body = "1\r\nx\r\n".repeat(60_000);

    caller.write(format!("{}{body}0\r\n\r\n", chunked_request("b1")).as_bytes()).await.unwrap();
    let answer = caller.read_answer().await;

    assert!(answer.head.starts_with("HTTP/1.1 200"), "{}", answer.head);
}

/// Writes without end until the connection is closed; returns what was received meanwhile.
async fn write_without_end(address: SocketAddr, start: String, pattern: &str) -> String {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let chunk = pattern.repeat(16_384 / pattern.len()).into_bytes();
    let writing = async {
        if writer.write_all(start.as_bytes()).await.is_ok() {
            while writer.write_all(&chunk).await.is_ok() {}
        }
    };
    let mut received = Vec::new();
    // A reset after the response is the end of the connection too.
    let reading = async { reader.read_to_end(&mut received).await.ok() };
    tokio::join!(writing, reading);
    String::from_utf8_lossy(&received).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_bodies_without_end_do_not_keep_a_gateway_busy() {
    let fleet = start_plain("callers", 2).await;
    let address = fleet.gateways[BESIDE].caller_address;
    for (name, start, pattern) in
        [("size", "", "0"), ("extension", "5;", "x"), ("trailer", "0\r\n", "a: b\r\n")]
    {
        let mut callers = JoinSet::new();
        for caller in 0..FAULTY_CALLER_COUNT {
            let head = chunked_request(&format!("{name}-{caller}"));
            callers.spawn(write_without_end(address, format!("{head}{start}"), pattern));
        }
        let others = OtherAnswers::count(&fleet).await;
        let ended_count = std::iter::from_fn(|| callers.try_join_next()).count();

        println!("caller's {name}: {others:?}, {ended_count} connections ended");
        others.assert_half(name);
        assert_eq!(ended_count, FAULTY_CALLER_COUNT, "{name}");
    }
    assert!(fleet.gateways[0].read_log().unwrap().contains("its caller sent neither"));
}

/// Starts a server without end at the address of a path that is about to close.
async fn replace_path(address: SocketAddr, start: &str, pattern: &str) -> EndlessServer {
    loop {
        let started = EndlessServer::start_at(address, start.to_owned(), pattern.as_bytes()).await;
        if let Ok(server) = started {
            return server;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

// The VM that carries the connection has no reason of its own to end it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_without_end_behind_another_vm_is_given_up_by_both() {
    for (name, start, pattern) in
        [("interim", "", "HTTP/1.1 102 Processing\r\n\r\n"), ("size", CHUNKED_HEAD, "0")]
    {
        let plan = FleetPlan { plain_count: 1, has_own_paths: true, ..plan() };
        let fleet = self::start(&format!("relayed_{name}"), plan).await;
        // The gateways learn of each other.
        tokio::time::sleep(PROPAGATION_TIME).await;
        let paths: Vec<_> = fleet.plain_servers[0].path_addresses().collect();
        (0..paths.len()).for_each(|path| fleet.set_path_fault(path, PathFault::RefusesNew));
        let server = replace_path(paths[1], start, pattern).await;
        let began = Instant::now();

        let response =
            fleet.send(0, "b1", &CallerRequest::plain(Method::POST, BID_PATH)).await.unwrap();

        let took = began.elapsed();
        tokio::time::sleep(PROPAGATION_TIME).await;
        assert_eq!((response.status, server.request_count()), (502, 1), "{name}: {response:?}");
        assert!(took < Duration::from_secs(1), "{name}: {took:?}");
        assert_eq!(server.open_count(), 0, "{name}");
        let log = fleet.gateways[1].read_log().unwrap();
        assert!(log.contains("connection for another VM"), "{name}");
    }
}

/// What a server of this VM's own calls sends without end.
const OWN_CALL_CASES: [(&str, &str); 3] =
    [("", "HTTP/1.1 102 Processing\r\n\r\n"), ("", "\r\n"), (CHUNKED_HEAD, "0")];

// The log service is read with a timeout for each part, which interim responses never end.
#[tokio::test]
async fn calls_of_a_log_service_without_end_fail_early() {
    for (start, pattern) in OWN_CALL_CASES {
        let server =
            EndlessServer::start_repeating(start.to_owned(), pattern.as_bytes()).await.unwrap();
        let mut client = client_at(server.address);
        let began = Instant::now();

        let appended = client.append_at("keyed.x", 0, "k", b"v").await.unwrap_err();
        let read = client.read("keyed.x", 0, Duration::from_secs(2)).await.unwrap_err();

        assert!(appended.is_in_doubt(), "{pattern:?}: {appended}");
        for error in [appended, read] {
            let text = error.to_string();
            assert!(text.contains(" bytes without "), "{pattern:?}: {text}");
        }
        assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    }
}

#[tokio::test]
async fn message_to_a_vm_without_end_fails_early() {
    for (start, pattern) in OWN_CALL_CASES {
        let server =
            EndlessServer::start_repeating(start.to_owned(), pattern.as_bytes()).await.unwrap();

        let error = send_message(server.address, "/p", &1_u8).await.unwrap_err();

        assert!(error.is_in_doubt(), "{pattern:?}: {error}");
        assert!(error.to_string().contains(" bytes without "), "{pattern:?}: {error}");
    }
}
