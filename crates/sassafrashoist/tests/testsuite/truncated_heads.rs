//! Tests of servers, other VMs and a log service that stop within the head of a response.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderMap, Method};
use sassafrashoist::gateway::log_client::LogCallError;
use sassafrashoist::gateway::open_relay::open_relay;
use sassafrashoist::gateway::relay_messages::{
    RELAY_PATH, RelayOutcome, RelayPurpose, RelayRequest,
};
use sassafrashoist::gateway::send_message::{MessageError, send_message};
use sassafrashoist_platform::http_client::{HttpRequest, HttpRequestError, send_http_request};
use sassafrashoist_platform_stand_in::backend_server::event_text;
use sassafrashoist_platform_stand_in::caller::{BodyEnd, CallerRequest, CallerResponse};
use sassafrashoist_platform_stand_in::http_listener::PathFault;
use sassafrashoist_platform_stand_in::raw_server::{RawEnd, RawRequest, RawResponse, RawServer};
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    BID_PATH, CHAT_PATH, DRAFT_PATH, EVENT_COUNT, EVENT_INTERVAL, FleetPlan, STATUS_PATH,
    StandInFleet,
};
use sassafrashoist_testkit::client::caller::CallerRequest as RouterRequest;
use sassafrashoist_testkit::engine::engine_settings::EngineSettings;
use sassafrashoist_testkit::fleet::fleet_bundle::BID_PATH as ROUTER_BID_PATH;
use sassafrashoist_testkit::fleet::fleet_plan::FleetPlan as RouterFleetPlan;
use sassafrashoist_testkit::fleet::running_fleet::RunningFleet;
use volo_http::client::Client;

use super::log_client::client_of;
use super::waiting::wait_until;

/// The time between the last byte of a head that is cut and the end of its connection.
const TIME_TO_END: Duration = Duration::from_millis(2);
/// The time in which a gateway finds out that it reaches servers only through others.
const CONTACT_TIME: Duration = Duration::from_secs(2);
/// The fleets that run concurrently in a test of many cases.
const CONCURRENT_FLEETS: usize = 4;
/// How often a request is sent that is refused.
const MAX_SENDS: usize = 5;
/// The time after which a request that is refused is sent again.
const TIME_BETWEEN_SENDS: Duration = Duration::from_millis(200);
/// The requests that are in progress at a fleet.
const CONCURRENT_REQUESTS: usize = 8;
/// The ids under which a server is listed, so that breakers leave some of them in use.
const LISTED_ID_COUNT: usize = 48;
/// The requests after which the retry limit allows 25 streams to go on at a second server.
const REQUESTS_FOR_RETRIES: usize = 120;
/// The headers of every response of a server.
const SERVER_HEADERS: &str = "request-id: {id}\r\nupstream-signature: raw\r\n";
/// The body of a response of the plain service.
const PLAIN_BODY: &str = "done";
/// The topic of the appends.
const LOG_TOPIC: &str = "keyed.x";

/// How connections end, and the number of bytes from one cut of a head to the next.
type Ends<'a> = &'a [(RawEnd, usize)];
const EACH_BYTE: Ends<'_> = &[(RawEnd::Closes, 1), (RawEnd::ClosesWriting, 5), (RawEnd::Resets, 5)];
const SOME_BYTES: Ends<'_> =
    &[(RawEnd::Closes, 3), (RawEnd::ClosesWriting, 11), (RawEnd::Resets, 11)];

/// A response of a server, in which `{id}` stands for the id of the request.
#[derive(Debug, Clone)]
struct Answer {
    name: &'static str,
    head: String,
    body: String,
}

impl Answer {
    fn new(name: &'static str, status_line: &str, headers: &str, body: &str) -> Self {
        let head = format!("{status_line}\r\n{SERVER_HEADERS}{headers}\r\n");
        Self { name, head, body: body.to_owned() }
    }

    fn after(self, name: &'static str, interim: &str) -> Self {
        Self { name, head: format!("{interim}{}", self.head), ..self }
    }

    /// Returns the response with lines that end without a carriage return.
    fn with_bare_line_feeds(self, name: &'static str) -> Self {
        Self { name, head: self.head.replace("\r\n", "\n"), ..self }
    }

    /// Returns the whole response to a request.
    fn whole(&self) -> RawResponse {
        RawResponse::closing(&format!("{}{}", self.head, self.body))
    }

    /// Returns the first bytes of the head of the response to a request.
    fn cut(&self, request_id: &str, length: usize, end: RawEnd) -> RawResponse {
        let head = self.head.replace("{id}", request_id);
        let text = head[..length.min(head.len())].to_owned();
        RawResponse { writes: vec![(Duration::ZERO, text), (TIME_TO_END, String::new())], end }
    }

    /// Returns the response with its body counted as a part of its head, so that cuts go through both.
    fn with_body_in_head(self) -> Self {
        Self { head: format!("{}{}", self.head, self.body), body: String::new(), ..self }
    }

    /// Returns how the whole body ends, as far as its reader can tell.
    fn body_end(&self) -> BodyEnd {
        match self.head.contains("content-length") || self.head.contains("chunked") {
            true => BodyEnd::Complete,
            false => BodyEnd::Closed,
        }
    }
}

/// Successes of all framings.
fn successes(body: &str) -> Vec<Answer> {
    let length = format!("content-length: {}\r\n", body.len());
    let chunked = "transfer-encoding: chunked\r\n";
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let with_length = Answer::new("length", "HTTP/1.1 200 OK", &length, body);
    let until_close = Answer::new("close", "HTTP/1.1 200 OK", "", body);
    let first_length = format!("HTTP/1.1 200 OK\r\n{}", length.trim_end());
    vec![
        Answer::new("length_first", &first_length, "", body),
        Answer::new("chunks", "HTTP/1.1 200 OK", chunked, &chunks),
        Answer::new("http_1_0", "HTTP/1.0 200 OK", "", body),
        Answer::new("http_1_0_length", "HTTP/1.0 200 OK", &length, body),
        with_length.clone().after("after_100", "HTTP/1.1 100 Continue\r\n\r\n"),
        until_close.clone().after("after_103", "HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n"),
        with_length.clone().with_bare_line_feeds("line_feeds"),
        until_close.clone().with_bare_line_feeds("line_feeds_close"),
        with_length,
        until_close,
    ]
}

/// Responses that say, once they are whole, that the request has not run or has failed.
fn failures() -> Vec<Answer> {
    let not_run = "not-executed: 1\r\ncontent-length: 0\r\n";
    let empty = "content-length: 0\r\n";
    vec![
        Answer::new("not_run_503", "HTTP/1.1 503 Service Unavailable", not_run, ""),
        Answer::new("not_run_429", "HTTP/1.1 429 Too Many Requests", not_run, ""),
        Answer::new("misdirected", "HTTP/1.1 421 Misdirected Request", empty, ""),
        Answer::new("failed", "HTTP/1.1 500 Internal Server Error", empty, ""),
        Answer { name: "no_head", head: "done\r\n\r\n\r\n".to_owned(), body: String::new() },
    ]
}

fn events(numbers: impl IntoIterator<Item = u64>) -> String {
    numbers.into_iter().map(event_text).collect()
}

/// What servers send to each request, by its id: first the planned responses, then whole ones.
#[derive(Debug)]
struct Script {
    planned: Mutex<HashMap<String, VecDeque<RawResponse>>>,
    afterwards: RawResponse,
}

impl Script {
    fn respond(&self, request: &RawRequest) -> RawResponse {
        let mut planned = self.planned.lock().unwrap_or_else(PoisonError::into_inner);
        let own = request.header("request-id").and_then(|id| planned.get_mut(id));
        own.and_then(VecDeque::pop_front).unwrap_or_else(|| self.afterwards.clone())
    }
}

/// Requests whose responses are cut, each with its id, and what servers send to them.
struct Cases {
    ids: Vec<String>,
    script: Arc<Script>,
}

impl Cases {
    /// Creates cases of heads that are cut, the last one of each before its last byte. Each request
    /// gets the responses `earlier` before, and the response `next` to a further attempt.
    fn of(answers: &[Answer], ends: Ends<'_>, earlier: &[RawResponse], next: RawResponse) -> Self {
        let mut planned = HashMap::new();
        for (number, answer) in answers.iter().enumerate() {
            for (end, step) in ends {
                let request_id = |length| format!("{number:02}-{length:03}-{end:?}");
                let head_bytes = answer.head.replace("{id}", &request_id(0)).len();
                for length in (0..head_bytes).rev().step_by(*step) {
                    let cut = answer.cut(&request_id(length), length, *end);
                    let responses = earlier.iter().cloned().chain([cut]).collect();
                    planned.insert(request_id(length), responses);
                }
            }
        }
        let ids = planned.keys().cloned().collect();
        let script = Script { planned: Mutex::new(planned), afterwards: next };
        Self { ids, script: Arc::new(script) }
    }

    fn respond(&self) -> impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static {
        let script = Arc::clone(&self.script);
        move |request| script.respond(request)
    }

    /// Sends the request of each case to a gateway.
    async fn send(
        &self,
        fleet: &StandInFleet,
        request: &CallerRequest,
        servers: &[RawServer],
    ) -> Vec<Case> {
        let sent = self.ids.iter().map(|id| async move {
            let response = send_until_taken(fleet, id, request).await;
            (id, response.map_err(|error| format!("{error:#}")))
        });
        let responses: Vec<_> =
            stream::iter(sent).buffer_unordered(CONCURRENT_REQUESTS).collect().await;
        let requests: Vec<_> = servers.iter().flat_map(RawServer::requests).collect();
        let run_count = |id: &String| {
            requests.iter().filter(|run| run.header("request-id") == Some(id.as_str())).count()
        };
        let case =
            |(id, response)| Case { run_count: run_count(id), request_id: id.clone(), response };
        responses.into_iter().map(case).collect()
    }
}

/// Sends a request to the first gateway until it is not refused: its server may have no slot, or its
/// account no tokens for the moment. A run before a refusal shows in the number of runs.
async fn send_until_taken(
    fleet: &StandInFleet,
    id: &str,
    request: &CallerRequest,
) -> eyre::Result<CallerResponse> {
    for _ in 1..MAX_SENDS {
        let response = fleet.send(0, id, request).await?;
        if response.status != 503 {
            return Ok(response);
        }
        tokio::time::sleep(TIME_BETWEEN_SENDS).await;
    }
    fleet.send(0, id, request).await
}

/// What became of a request.
#[derive(Debug)]
struct Case {
    #[expect(dead_code, reason = "printed when a test fails")]
    request_id: String,
    run_count: usize,
    response: Result<CallerResponse, String>,
}

impl Case {
    fn is_answered(&self, run_count: usize, is_expected: impl Fn(&CallerResponse) -> bool) -> bool {
        self.run_count == run_count && self.response.as_ref().is_ok_and(is_expected)
    }

    /// Returns whether the request was answered as one that may have run.
    fn is_in_doubt(&self, run_counts: RangeInclusive<usize>) -> bool {
        run_counts.contains(&self.run_count)
            && self.is_answered(self.run_count, |response| {
                [502, 504].contains(&response.status)
                    && response.is_complete()
                    && !response.headers.contains_key("upstream-signature")
            })
    }

    /// Returns whether the request reached one server and was answered as one that may have run.
    fn ran_once(&self) -> bool {
        self.is_in_doubt(1..=1)
    }

    /// Returns whether a request that may run again was answered as one that may have run. On a slow
    /// machine it may have left a server before it ran there, or before the whole response.
    fn failed(&self) -> bool {
        self.is_in_doubt(0..=2)
    }

    /// Returns whether the request was answered with the whole body of a second server.
    fn was_repeated(&self, body: &str, end: BodyEnd) -> bool {
        self.is_answered(2, |response| {
            (response.status, response.end) == (200, end) && response.body == body
        })
    }

    /// Returns whether a stream that a second server was to go on with was aborted after the events of
    /// the first one.
    fn broke_off_after(&self, body: &str) -> bool {
        self.is_answered(2, |response| {
            (response.status, response.end) == (200, BodyEnd::Aborted) && response.body == body
        })
    }
}

/// Fails if a case is not sound.
fn assert_sound<'a>(cases: impl IntoIterator<Item = &'a Case>, is_sound: impl Fn(&Case) -> bool) {
    let failures: Vec<_> = cases.into_iter().filter(|case| !is_sound(case)).collect();
    assert!(failures.is_empty(), "{} cases, such as {:#?}", failures.len(), failures[0]);
}

async fn start(name: &str, gateway_count: usize, server_count: usize) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("truncated_heads").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count,
        engine_count: server_count,
        plain_count: server_count,
        paid_tokens: 100_000_000,
        has_own_paths: gateway_count > 1,
        event_interval: EVENT_INTERVAL,
    };
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

fn bid() -> CallerRequest {
    CallerRequest::plain(Method::POST, BID_PATH)
}

fn status() -> CallerRequest {
    CallerRequest::plain(Method::GET, STATUS_PATH)
}

fn stream_of(path: &str) -> CallerRequest {
    CallerRequest::to_model(path, 20, 30)
}

/// Plays cases with a server that is alone in its pool, after a number of requests whose responses are
/// not cut.
async fn play_after(
    request_count_before: usize,
    name: &str,
    pool: &str,
    request: &CallerRequest,
    cases: &Cases,
) -> Vec<Case> {
    let fleet = start(name, 1, 0).await;
    let server = RawServer::start(cases.respond()).await.unwrap();
    for number in 0..LISTED_ID_COUNT {
        fleet.list_server(pool, &format!("raw-{number}"), server.address);
    }
    let is_listed = || {
        let log = fleet.gateways[0].read_log();
        log.is_ok_and(|log| log.matches("\"server listed\"").count() >= LISTED_ID_COUNT)
    };
    wait_until("the servers are listed", is_listed).await;
    for number in 0..request_count_before {
        fleet.send(0, &format!("early-{number}"), request).await.unwrap();
    }
    cases.send(&fleet, request, &[server]).await
}

/// Plays cases with a server that is alone in its pool.
async fn play(name: &str, pool: &str, request: &CallerRequest, cases: &Cases) -> Vec<Case> {
    play_after(0, name, pool, request, cases).await
}

/// Plays the cuts of each response in a fleet of its own; a further attempt gets `next`, or the
/// whole response.
async fn play_all(
    name: &str,
    pool: &str,
    request: &CallerRequest,
    answers: Vec<Answer>,
    ends: Ends<'_>,
    next: Option<&Answer>,
) -> Vec<(Answer, Vec<Case>)> {
    let runs = answers.into_iter().map(|answer| async move {
        let next = next.unwrap_or(&answer).whole();
        let cases = Cases::of(std::slice::from_ref(&answer), ends, &[], next);
        let played = play(&format!("{name}_{}", answer.name), pool, request, &cases).await;
        (answer, played)
    });
    stream::iter(runs).buffer_unordered(CONCURRENT_FLEETS).collect().await
}

// A request that may run at most once ran again, or was answered as one that has not run, after a
// server had sent a part of a refusal; or a part of a head counted as an answer without a body.
#[tokio::test]
async fn request_that_may_run_once_is_in_doubt_after_a_cut_head() {
    let answers = successes(PLAIN_BODY).into_iter().chain(failures()).collect();

    let played = play_all("bid", "desk", &bid(), answers, EACH_BYTE, None).await;

    assert_sound(played.iter().flat_map(|(_, cases)| cases), Case::ran_once);
}

// A part of a head counted as a success of an idempotent request, with an empty or a short body.
#[tokio::test]
async fn idempotent_request_gets_a_whole_answer_or_none_after_a_cut_head() {
    let next = successes(PLAIN_BODY).swap_remove(0);

    let played =
        play_all("status", "desk", &status(), successes(PLAIN_BODY), EACH_BYTE, None).await;
    let after_failures =
        play_all("status_failed", "desk", &status(), failures(), SOME_BYTES, Some(&next)).await;

    for (answer, cases) in played {
        let was_repeated = |case: &Case| case.was_repeated(PLAIN_BODY, answer.body_end());
        assert!(cases.iter().any(was_repeated), "{}", answer.name);
        assert_sound(&cases, |case| case.failed() || was_repeated(case));
    }
    for (answer, cases) in after_failures {
        let was_repeated = |case: &Case| case.was_repeated(PLAIN_BODY, next.body_end());
        assert!(cases.iter().any(was_repeated), "{}", answer.name);
        assert_sound(&cases, |case| case.failed() || was_repeated(case));
    }
}

// A part of a body, or chunks without the last one, counted as a whole answer.
#[tokio::test]
async fn answer_that_is_cut_within_its_body_is_not_whole() {
    let answers = || {
        let framed = successes(PLAIN_BODY).into_iter();
        framed.filter(|answer| answer.body_end() == BodyEnd::Complete)
    };
    let joined: Vec<_> = answers().map(Answer::with_body_in_head).collect();

    let bids = play_all("body_bid", "desk", &bid(), joined.clone(), SOME_BYTES, None).await;
    let statuses = play_all("body_status", "desk", &status(), joined, SOME_BYTES, None).await;

    let was_repeated = |case: &Case| case.was_repeated(PLAIN_BODY, BodyEnd::Complete);
    assert_sound(bids.iter().flat_map(|(_, cases)| cases), Case::ran_once);
    assert!(statuses.iter().all(|(_, cases)| cases.iter().any(was_repeated)));
    assert_sound(statuses.iter().flat_map(|(_, cases)| cases), |case| {
        case.failed() || was_repeated(case)
    });
}

// A head whose end never came held a request that could have run at another server, or was answered
// before the deadline.
#[tokio::test]
async fn head_that_stops_on_an_open_connection_is_no_answer() {
    let answers: Vec<_> = successes(PLAIN_BODY).into_iter().chain(failures()).collect();
    let ends: Ends<'_> = &[(RawEnd::StaysOpen, 60)];
    let timeout = Duration::from_millis(1_500);
    let next = answers[0].whole();
    let bids = Cases::of(&answers, ends, &[], next.clone());
    let statuses = Cases::of(&answers, ends, &[], next);

    let (bid, status) = (CallerRequest { timeout, ..bid() }, status());
    let (bids, statuses) = tokio::join!(
        play("open_bid", "desk", &bid, &bids),
        play("open_status", "desk", &status, &statuses),
    );

    let was_repeated = |case: &Case| case.was_repeated(PLAIN_BODY, BodyEnd::Complete);
    assert_sound(&bids, Case::ran_once);
    assert!(statuses.iter().any(was_repeated));
    assert_sound(&statuses, |case| case.failed() || was_repeated(case));
}

// A part of a head counted as a stream without events.
#[tokio::test]
async fn stream_does_not_begin_with_a_cut_head() {
    let body = events(1..=EVENT_COUNT);

    let draft = stream_of(DRAFT_PATH);
    let drafts = play_all("draft", "llm", &draft, successes(&body), SOME_BYTES, None).await;
    let answers = successes(&body).into_iter().chain(failures()).collect();
    let chats = play_all("chat", "llm", &stream_of(CHAT_PATH), answers, SOME_BYTES, None).await;

    for (answer, cases) in drafts {
        let was_repeated = |case: &Case| case.was_repeated(&body, answer.body_end());
        assert!(cases.iter().any(was_repeated), "{}", answer.name);
        assert_sound(&cases, |case| case.failed() || was_repeated(case));
    }
    assert_sound(chats.iter().flat_map(|(_, cases)| cases), Case::ran_once);
}

/// Returns responses that break off after two events of a stream.
fn interrupted_streams() -> [(&'static str, RawResponse); 2] {
    let begun = events(1..=2);
    let chunk = format!("{:x}\r\n{begun}\r\n", begun.len());
    let chunked =
        Answer::new("chunks", "HTTP/1.1 200 OK", "transfer-encoding: chunked\r\n", &chunk);
    let until_close = Answer::new("close", "HTTP/1.1 200 OK", "", &format!("{begun}id: 3\nda"));
    [("chunks", chunked.whole()), ("close", until_close.whole())]
}

// A part of a head counted as the end of a stream that a second server was to go on with.
#[tokio::test]
async fn stream_does_not_end_as_complete_with_a_cut_head() {
    let begun = events(1..=2);
    let answers = successes(&events(3..=EVENT_COUNT));
    let runs = interrupted_streams().into_iter().flat_map(|(framing, interrupted)| {
        answers.iter().map(move |answer| (framing, interrupted.clone(), answer))
    });
    let runs = runs.map(|(framing, interrupted, answer)| async move {
        let end = if framing == "chunks" { RawEnd::Closes } else { RawEnd::Resets };
        let cases =
            Cases::of(std::slice::from_ref(answer), &[(end, 5)], &[interrupted], answer.whole());
        let name = format!("resumed_{framing}_{}", answer.name);
        play_after(REQUESTS_FOR_RETRIES, &name, "llm", &stream_of(DRAFT_PATH), &cases).await
    });

    let played: Vec<_> = stream::iter(runs).buffer_unordered(CONCURRENT_FLEETS).collect().await;

    for cases in played {
        assert_sound(&cases, |case| case.broke_off_after(&begun));
    }
}

/// Starts a server at the address of a path that is about to close.
async fn replace_path(address: SocketAddr, cases: &Cases) -> RawServer {
    loop {
        if let Ok(server) = RawServer::start_at(address, cases.respond()).await {
            return server;
        }
        tokio::time::sleep(TIME_TO_END).await;
    }
}

/// Starts servers at the paths of two gateways to each server of a pool; the first gateway reaches
/// none of them.
async fn start_servers_out_of_reach(
    fleet: &StandInFleet,
    pool: &str,
    cases: &Cases,
) -> Vec<RawServer> {
    let replaced = if pool == "llm" { &fleet.engines } else { &fleet.plain_servers };
    let mut servers = Vec::new();
    for server in replaced {
        for (path, address) in server.path_addresses().enumerate() {
            server.set_path_fault(path, PathFault::RefusesNew);
            if path > 0 {
                servers.push(replace_path(address, cases).await);
            }
        }
    }
    servers
}

/// Plays cases with servers that the gateway reaches only through another VM.
async fn play_relayed(
    fleet: &StandInFleet,
    pool: &str,
    request: &CallerRequest,
    cases: &Cases,
) -> Vec<Case> {
    let servers = start_servers_out_of_reach(fleet, pool, cases).await;
    let contact = async {
        for number in 0.. {
            fleet.send(0, &format!("early-{number}"), request).await.unwrap();
        }
    };
    assert!(tokio::time::timeout(CONTACT_TIME, contact).await.is_err());
    cases.send(fleet, request, &servers).await
}

// The VM that carries a connection passes on that it ended within a head; a request ran again, or its
// answer counted as whole, as if the VM had ended it.
#[tokio::test]
async fn head_that_is_cut_through_another_vm_is_no_answer() {
    let fleet = start("relayed", 3, 2).await;
    let ends = [(RawEnd::Closes, 4), (RawEnd::ClosesWriting, 13), (RawEnd::Resets, 9)];
    let answers: Vec<_> = successes(PLAIN_BODY).into_iter().chain(failures()).collect();
    let bids = Cases::of(&answers, &ends, &[], answers[0].whole());
    let body = events(1..=EVENT_COUNT);
    let answers: Vec<_> = successes(&body);
    let drafts = Cases::of(&answers, &ends, &[], answers[0].whole());

    let (draft, bid) = (stream_of(DRAFT_PATH), bid());
    let (drafts, bids) = tokio::join!(
        play_relayed(&fleet, "llm", &draft, &drafts),
        play_relayed(&fleet, "desk", &bid, &bids),
    );

    let logs = fleet.gateways[1..].iter().map(|gateway| gateway.read_log().unwrap());
    assert!(logs.fold(0, |sum, log| sum + log.matches("connection for another VM").count()) > 0);
    let was_repeated = |case: &Case| case.was_repeated(&body, BodyEnd::Complete);
    assert!(drafts.iter().any(was_repeated));
    assert_sound(&bids, Case::ran_once);
    assert_sound(&drafts, |case| case.failed() || was_repeated(case));
}

/// Responses that switch the protocol; the last ones say that the request has not run.
fn switches() -> [Answer; 4] {
    let switch = |name, headers| Answer::new(name, "HTTP/1.1 101 Switching Protocols", headers, "");
    let upgrade = "connection: upgrade\r\nupgrade: other\r\n";
    let not_run = "not-executed: 1\r\n";
    [
        switch("plain", ""),
        switch("upgrade", upgrade),
        switch("not_run", not_run),
        switch("upgrade_not_run", &format!("{upgrade}{not_run}")),
    ]
}

// A switch of protocols, which nobody had asked for, reached callers as an answer; one that named the
// request as not run sent it to further servers.
#[tokio::test]
async fn switch_of_protocols_is_no_answer_of_a_server() {
    let requests = [
        ("bid", "desk", bid()),
        ("chat", "llm", stream_of(CHAT_PATH)),
        ("draft", "llm", stream_of(DRAFT_PATH)),
        ("status", "desk", status()),
    ];
    let switches = switches();
    let runs = requests.iter().flat_map(|(kind, pool, request)| {
        switches.iter().map(move |answer| async move {
            let script = Script { planned: Mutex::default(), afterwards: answer.whole() };
            let cases = Cases { ids: vec!["switched".to_owned()], script: Arc::new(script) };
            let name = format!("switch_{kind}_{}", answer.name);
            (*kind, play(&name, pool, request, &cases).await)
        })
    });

    let played: Vec<_> = stream::iter(runs).buffer_unordered(CONCURRENT_FLEETS).collect().await;

    for (kind, cases) in played {
        let max_run_count = if ["draft", "status"].contains(&kind) { 2 } else { 1 };
        assert_sound(&cases, |case| case.is_in_doubt(1..=max_run_count));
    }
}

/// The response of the log service to an append after which the topic ends at an offset.
fn appended(end: usize) -> Answer {
    successes(&format!("{{\"position\":0,\"endOffset\":{end}}}")).swap_remove(0)
}

/// Responses of the log service to an append.
fn log_answers() -> Vec<Answer> {
    let body = "{\"position\":0,\"endOffset\":1}";
    let length = format!("content-length: {}\r\n", body.len());
    let other = |name, status_line| Answer::new(name, status_line, &length, body);
    let mut answers = successes(body);
    answers.extend([
        other("end_moved", "HTTP/1.1 412 Precondition Failed"),
        other("refused", "HTTP/1.1 503 Service Unavailable"),
        other("limited", "HTTP/1.1 429 Too Many Requests"),
    ]);
    answers
}

/// Returns the offset that an append expects.
fn expected_offset(request: &RawRequest) -> usize {
    let query = request.head.split([' ', '?', '&']);
    query.filter_map(|part| part.strip_prefix("at=")).find_map(|at| at.parse().ok()).unwrap()
}

/// Makes appends whose responses are cut, each followed by one whose response is whole.
async fn append_with_cut_responses(answer: &Answer) {
    let head_bytes = answer.head.replace("{id}", "").len();
    for (end, step) in EACH_BYTE {
        let cut_answer = answer.clone();
        let server = RawServer::start(move |request| match expected_offset(request) {
            at if at < head_bytes => cut_answer.cut("", at, *end),
            at => appended(at + 1).whole(),
        });
        let server = server.await.unwrap();
        let mut client = client_of(&server);
        for length in (0..head_bytes).rev().step_by(*step) {
            let next = head_bytes + length;

            let cut = client.append_at(LOG_TOPIC, length as u64, "k", b"v").await;
            let whole = client.append_at(LOG_TOPIC, next as u64, "k", b"v").await;

            let name = format!("{} cut after {length}, {end:?}", answer.name);
            let is_lost =
                matches!(cut, Err(LogCallError::NoResponse(_) | LogCallError::TimedOut(_)));
            assert!(is_lost, "{name}: {cut:?}");
            // On a slow machine nothing may arrive within the timeout.
            let is_own = match &whole {
                Ok(end) => *end == next as u64 + 1,
                Err(error) => matches!(error, LogCallError::TimedOut(_)),
            };
            assert!(is_own, "{name}: {whole:?}");
        }
    }
}

// An append counted as made or as refused, or the next one got its response, after a part of a head.
#[tokio::test]
async fn append_is_in_doubt_after_a_cut_head() {
    let answers = log_answers();

    let calls = answers.iter().map(append_with_cut_responses);
    stream::iter(calls).buffer_unordered(CONCURRENT_FLEETS).collect::<()>().await;
}

// A read counted as one of no records, or of a topic that had been trimmed.
#[tokio::test]
async fn read_fails_after_a_cut_head() {
    let (server, count) = start_cutting_server(log_answers()).await;
    let mut client = client_of(&server);

    for number in 0..count / 2 {
        let page = client.read_newest_page(LOG_TOPIC, None).await.map(drop);
        let batch = client.read(LOG_TOPIC, 0, Duration::ZERO).await.map(drop);

        for read in [page, batch] {
            let is_lost =
                matches!(read, Err(LogCallError::NoResponse(_) | LogCallError::TimedOut(_)));
            assert!(is_lost, "{number}: {read:?}");
        }
    }
}

/// Starts a server that sends a response to each request.
async fn start_server(answer: &Answer) -> RawServer {
    let whole = answer.whole();
    RawServer::start(move |_| whole.clone()).await.unwrap()
}

/// Starts a server that sends cuts of responses in turn, after each byte; returns their number.
async fn start_cutting_server(answers: Vec<Answer>) -> (RawServer, usize) {
    let mut cuts = Vec::new();
    for answer in &answers {
        for (end, step) in EACH_BYTE {
            let lengths = (0..answer.head.replace("{id}", "").len()).rev().step_by(*step);
            cuts.extend(lengths.map(|length| answer.cut("", length, *end)));
        }
    }
    let count = cuts.len();
    let server = RawServer::start(move |request| cuts[request.number].clone()).await.unwrap();
    (server, count)
}

fn relay_request() -> RelayRequest {
    RelayRequest {
        holder_id: "vm-0/0123456789abcdef".to_owned(),
        server_id: "plain-0".to_owned(),
        started_at_unix_ms: 1,
        purpose: RelayPurpose::Carry(Duration::from_secs(1)),
    }
}

// Tokens that another VM had handed over counted as refused, after a part of its response.
#[tokio::test]
async fn message_to_another_vm_is_in_doubt_after_a_cut_head() {
    let answers = successes("").into_iter().chain(failures()).collect();
    let (server, count) = start_cutting_server(answers).await;

    for number in 0..count {
        let sent = send_message(server.address, RELAY_PATH, &relay_request()).await;

        assert!(sent.as_ref().is_err_and(MessageError::is_in_doubt), "{number}: {sent:?}");
    }
}

// A connection through another VM counted as open, or the server as refusing connections, after a
// part of the VM's response.
#[tokio::test]
async fn connection_through_another_vm_does_not_open_with_a_cut_head() {
    let outcome = postcard::to_stdvec(&RelayOutcome::Refused).unwrap();
    let mut answers = successes(std::str::from_utf8(&outcome).unwrap());
    answers.extend(switches());
    let (server, count) = start_cutting_server(answers).await;

    for number in 0..count {
        let opened = open_relay(server.address, &relay_request()).await;

        assert!(matches!(opened, Err(None)), "{number}: {opened:?}");
    }
}

fn platform_request(server: &RawServer) -> HttpRequest {
    HttpRequest {
        method: Method::POST,
        url: format!("http://{}/x", server.address),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Duration::from_secs(5),
    }
}

// The router's own path and the platform's client read heads through another library.
#[tokio::test]
async fn response_of_the_platform_is_lost_after_a_cut_head() {
    let answers = successes(PLAIN_BODY).into_iter().chain(failures()).collect();
    let (server, count) = start_cutting_server(answers).await;
    let client = Client::default();

    for number in 0..count {
        let response = send_http_request(&client, platform_request(&server)).await;

        let is_lost = matches!(response, Err(HttpRequestError::ResponseLost(..)));
        assert!(is_lost, "{number}: {response:?}");
    }
}

// An append counted as refused, and so as not made, when the log service switched the protocol.
#[tokio::test]
async fn append_is_in_doubt_after_a_switch_of_protocols() {
    for answer in switches() {
        let server = start_server(&answer).await;
        let mut client = client_of(&server);

        let appended = client.append_at(LOG_TOPIC, 0, "k", b"v").await;

        let is_in_doubt = appended.as_ref().is_err_and(LogCallError::is_in_doubt);
        assert!(is_in_doubt, "{}: {appended:?}", answer.name);
    }
}

// A message that another VM may have applied counted as refused.
#[tokio::test]
async fn message_to_another_vm_is_in_doubt_after_a_switch_of_protocols() {
    for answer in switches() {
        let server = start_server(&answer).await;

        let sent = send_message(server.address, RELAY_PATH, &relay_request()).await;

        let is_in_doubt = sent.as_ref().is_err_and(MessageError::is_in_doubt);
        assert!(is_in_doubt, "{}: {sent:?}", answer.name);
    }
}

// The platform's client took a switch of protocols for the end of a call.
#[tokio::test]
async fn response_of_the_platform_is_lost_after_a_switch_of_protocols() {
    for answer in switches() {
        let server = start_server(&answer).await;

        let response = send_http_request(&Client::default(), platform_request(&server)).await;

        let is_lost = matches!(response, Err(HttpRequestError::ResponseLost(..)));
        assert!(is_lost, "{}: {response:?}", answer.name);
    }
}

/// Responses of a plain service to the router.
fn router_answers() -> [Answer; 5] {
    let answer = |name, status_line: &str, headers: &str| {
        let head =
            format!("{status_line}\r\nx-request-id: {{id}}\r\nx-attempt: 1\r\n{headers}\r\n");
        Answer { name, head, body: String::new() }
    };
    let empty = "content-length: 0\r\n";
    [
        answer("switch", "HTTP/1.1 101 Switching Protocols", ""),
        answer("length", "HTTP/1.1 200 OK", empty),
        answer("close", "HTTP/1.1 200 OK", ""),
        answer("after_103", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", empty),
        answer(
            "not_run",
            "HTTP/1.1 503 Service Unavailable",
            "x-outcome: not-run\r\ncontent-length: 0\r\n",
        ),
    ]
}

/// Starts a fleet of one router whose plain services are all a server that sends each bid `b-N` the cut
/// with the number N.
async fn start_router(cuts: Vec<(Answer, usize)>) -> (RunningFleet, RawServer) {
    let server = RawServer::start(move |request| {
        let id = request.header("x-request-id").unwrap_or_default();
        let Some(number) = id.split("b-").nth(1).and_then(|number| number.parse::<usize>().ok())
        else {
            // The router polls the load of its servers, and these report none.
            return RawResponse::at_once("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
        };
        let (answer, length) = &cuts[number];
        answer.cut(id, *length, RawEnd::Closes)
    });
    let server = server.await.unwrap();
    let plan = RouterFleetPlan::new(&["plateau"], 1, EngineSettings::default());
    let fleet = RunningFleet::start_without_bundle(plan).await.unwrap();
    fleet.services.iter().for_each(|service| service.link.set_target(server.address));
    fleet.push(fleet.build_bundle()).await.unwrap();
    for account in &fleet.plan.accounts {
        fleet.top_up(account, "top-up", account.paid_tokens).await.unwrap();
    }
    fleet.wait_ready(1).await.unwrap();
    (fleet, server)
}

/// Sends the bids whose responses are cut, one after the other; returns, for each, the status, the
/// result code, the outcome and the number of runs.
async fn send_bids(cuts: &[(Answer, usize)]) -> Vec<(u16, u16, String, usize)> {
    let (fleet, server) = start_router(cuts.to_vec()).await;
    let caller = fleet.caller(0).unwrap();
    let mut outcomes = Vec::new();
    for number in 0..cuts.len() {
        let request = RouterRequest {
            path: ROUTER_BID_PATH.to_owned(),
            body: r#"{"lot":21,"amount_xof":90000}"#.to_owned(),
            idempotency_key: Some(format!("b-{number}")),
            ..RouterRequest::default()
        };
        let response = caller.post(&request).await.unwrap();
        let requests = server.requests();
        let ids = requests.iter().filter_map(|request| request.header("x-request-id"));
        let run_count = ids.filter(|id| id.ends_with(&format!("/b-{number}"))).count();
        let outcome = response.outcome().to_owned();
        outcomes.push((response.status, response.result_code(), outcome, run_count));
    }
    outcomes
}

/// The outcome of a bid that has run once, as far as the router can tell.
fn unknown() -> (u16, u16, String, usize) {
    (504, 7001, "unknown".to_owned(), 1)
}

// The router's own path took a part of a head for an answer or a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn bid_of_the_router_is_unknown_after_a_cut_head_and_does_not_run_again() {
    let mut cuts = Vec::new();
    for answer in router_answers() {
        let lengths = (0..answer.head.len()).rev().step_by(9);
        cuts.extend(lengths.map(|length| (answer.clone(), length)));
    }

    let outcomes = send_bids(&cuts).await;

    for ((answer, length), outcome) in cuts.iter().zip(outcomes) {
        assert_eq!(outcome, unknown(), "{} cut after {length}", answer.name);
    }
}

// The router's own path forwarded a switch of protocols as the answer to a bid.
#[tokio::test(flavor = "multi_thread")]
async fn bid_of_the_router_is_unknown_after_a_switch_of_protocols() {
    let [switch, ..] = router_answers();

    let outcomes = send_bids(&[(switch, usize::MAX)]).await;

    assert_eq!(outcomes, [unknown()]);
}
