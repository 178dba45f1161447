//! Tests of streams whose servers are silent, or whose callers leave, while the configuration changes.
//! Their callers resume them at another gateway, which has the new configuration or not yet.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use futures::future::join_all;
use http::Method;
use sassafrashoist_platform_stand_in::backend_server::ServerFault;
use sassafrashoist_platform_stand_in::caller::{CallerRequest, CallerResponse};
use sassafrashoist_platform_stand_in::log_service::LogFault;
use sassafrashoist_platform_stand_in::raw_answer::AnswerEnd;
use sassafrashoist_platform_stand_in::raw_caller::RawCaller;
use sassafrashoist_platform_stand_in::raw_server::{RawEnd, RawRequest, RawResponse, RawServer};
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    CONFIG_TOPIC, DRAFT_PATH, ENGINE_POOL, EVENT_INTERVAL, FleetPlan, IDLE_TIMEOUT, ROUTE_TIMEOUT,
    StandInFleet,
};

/// The gateway at which streams begin.
const BEGINNER: usize = 0;
/// The gateway that has the newest configuration when streams are resumed.
const CURRENT_TAKER: usize = 1;
/// The gateway that stands still while the configuration changes, until streams are resumed at it.
const LATE_TAKER: usize = 2;
/// A second pool of engines, of another service.
const OTHER_POOL: &str = "other";
/// How long a change in the log service may take to become active, with a margin for a slow
/// machine.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// The time after which a gateway knows that a route has led to one pool only, of one software
/// version, for as long as a stream lasts, with a margin.
const SOLE_VERSION_TIME: Duration = Duration::from_millis(22_500);
/// How long a read of the configuration waits for a newer one, with a margin.
const MAX_READ_WAIT: Duration = Duration::from_millis(1_400);
/// Time between two entries of a server in the list.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
const STREAM_COUNT: usize = 4;

async fn start(name: &str, engine_count: usize) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("hushed_streams").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: 3,
        engine_count,
        plain_count: 0,
        paid_tokens: 10_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

/// Starts a fleet whose first two engines run one service and the others another one; the drafts go to
/// the first one.
async fn start_with_two_services(name: &str) -> StandInFleet {
    let mut fleet = start(name, 4).await;
    fleet.set_engine_pool(2, OTHER_POOL);
    fleet.set_engine_pool(3, OTHER_POOL);
    fleet
}

/// Returns a request whose prompt is its own, so that streams spread over the servers.
fn draft(path: &str, number: usize, headers: Vec<(&'static str, String)>) -> CallerRequest {
    let mut request = CallerRequest::plain(Method::POST, path);
    request.headers = vec![("prefix-hash", format!("a{number}:450,b{number}:450"))];
    request.headers.extend(headers);
    request
}

/// A stream that broke off.
#[derive(Debug)]
struct BrokenStream {
    id: String,
    number: usize,
    event_count: usize,
}

/// Begins streams at the first gateway, which break off by faults of the servers, and ends the faults.
async fn begin_streams(fleet: &StandInFleet) -> Vec<BrokenStream> {
    set_faults(fleet, ServerFault::DisconnectsAfter(2));
    let mut begun = Vec::new();
    for number in 0..STREAM_COUNT {
        let id = format!("begun-{number}");
        let request = draft(DRAFT_PATH, number, Vec::new());
        let response = fleet.send(BEGINNER, &id, &request).await.unwrap();
        let event_count = String::from_utf8_lossy(&response.body).matches("\n\n").count();
        assert!(event_count >= 2, "{response:?}");
        begun.push(BrokenStream { id, number, event_count });
    }
    set_faults(fleet, ServerFault::None);
    begun
}

fn set_faults(fleet: &StandInFleet, fault: ServerFault) {
    fleet.engines.iter().for_each(|engine| engine.set_fault(fault));
}

fn resumed_id(stream: &BrokenStream) -> String {
    format!("{}-resumed", stream.id)
}

async fn resume_streams(
    fleet: &StandInFleet,
    taker: usize,
    begun: &[BrokenStream],
    names_stream: bool,
) -> Vec<CallerResponse> {
    join_all(begun.iter().map(|stream| async move {
        let mut headers = vec![("last-event-id", stream.event_count.to_string())];
        if names_stream {
            headers.push(("resumes", stream.id.clone()));
        }
        let request = draft(DRAFT_PATH, stream.number, headers);
        fleet.send(taker, &resumed_id(stream), &request).await.unwrap()
    }))
    .await
}

/// Returns the streams that engines of both services sent events of.
fn streams_of_two_services<'a>(fleet: &StandInFleet, begun: &'a [BrokenStream]) -> Vec<&'a str> {
    let of_two_services = |stream: &&BrokenStream| {
        let mut engines = fleet.engines_of(&stream.id);
        engines.extend(fleet.engines_of(&resumed_id(stream)));
        let services: BTreeSet<bool> = engines.iter().map(|engine| *engine < 2).collect();
        services.len() > 1
    };
    begun.iter().filter(of_two_services).map(|stream| stream.id.as_str()).collect()
}

fn statuses(responses: &[CallerResponse]) -> Vec<u16> {
    responses.iter().map(|response| response.status).collect()
}

async fn wait_with_heartbeats(fleet: &StandInFleet, time: Duration) {
    let until = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < until {
        fleet.send_heartbeats();
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

// The route's only destination is that of the newest configuration, not that of the stream.
#[tokio::test]
async fn stream_without_a_name_does_not_go_on_at_the_service_that_its_route_was_moved_to() {
    let mut fleet = start_with_two_services("moved_unnamed").await;
    wait_with_heartbeats(&fleet, SOLE_VERSION_TIME).await;
    let begun = begin_streams(&fleet).await;
    fleet.route_drafts_to(&[(OTHER_POOL, 1)]);
    tokio::time::sleep(PROPAGATION_TIME).await;

    let resumed = resume_streams(&fleet, CURRENT_TAKER, &begun, false).await;

    let joined = streams_of_two_services(&fleet, &begun);
    assert!(joined.is_empty(), "{joined:?}: {:?}", statuses(&resumed));
}

// A gateway that could not read the move yet knows one destination only, the old one.
#[tokio::test]
async fn stream_without_a_name_does_not_go_on_at_the_service_that_its_route_was_moved_from() {
    let mut fleet = start_with_two_services("moved_unread").await;
    wait_with_heartbeats(&fleet, SOLE_VERSION_TIME).await;
    fleet.log.set_fault(LogFault::TopicDown(CONFIG_TOPIC));
    wait_with_heartbeats(&fleet, MAX_READ_WAIT).await;
    let earlier_count = configs_in_force(&fleet, BEGINNER);
    fleet.gateways[LATE_TAKER].set_paused(true).unwrap();
    fleet.log.set_fault(LogFault::None);
    fleet.route_drafts_to(&[(OTHER_POOL, 1)]);
    while configs_in_force(&fleet, BEGINNER) == earlier_count {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let begun = begin_streams(&fleet).await;
    fleet.log.set_fault(LogFault::TopicDown(CONFIG_TOPIC));
    fleet.gateways[BEGINNER].set_paused(true).unwrap();
    fleet.gateways[CURRENT_TAKER].set_paused(true).unwrap();
    fleet.gateways[LATE_TAKER].set_paused(false).unwrap();

    let resumed = resume_streams(&fleet, LATE_TAKER, &begun, false).await;

    let joined = streams_of_two_services(&fleet, &begun);
    assert!(joined.is_empty(), "{joined:?}: {:?}", statuses(&resumed));
}

/// Returns how many configurations a gateway has put into force, by its log.
fn configs_in_force(fleet: &StandInFleet, gateway: usize) -> usize {
    let text = std::fs::read_to_string(&fleet.gateways[gateway].log_path).unwrap();
    text.matches("\"configuration in force\"").count()
}

// Servers that write no entries stay in the list: their version counts as long as they do.
#[tokio::test]
async fn stream_without_a_name_goes_on_although_the_server_list_is_calm() {
    let fleet = start("calm", 4).await;
    tokio::time::sleep(SOLE_VERSION_TIME).await;
    let begun = begin_streams(&fleet).await;

    let resumed = resume_streams(&fleet, CURRENT_TAKER, &begun, false).await;

    assert_eq!(statuses(&resumed), [200; STREAM_COUNT]);
}

// The caller was told that no server had the software version, and returned in vain.
#[tokio::test]
async fn stream_whose_route_was_moved_is_refused_at_once_with_the_reason() {
    let mut fleet = start_with_two_services("moved_named").await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let begun = begin_streams(&fleet).await;
    fleet.route_drafts_to(&[(OTHER_POOL, 1)]);
    // Until the read after that of the move has ended, a still newer configuration may exist.
    tokio::time::sleep(PROPAGATION_TIME + MAX_READ_WAIT).await;

    let resumed = resume_streams(&fleet, CURRENT_TAKER, &begun, true).await;

    for response in &resumed {
        assert_eq!(response.status, 503);
        assert_eq!(
            String::from_utf8_lossy(&response.body),
            "route no longer leads to the service that began the stream"
        );
        assert!(!response.headers.contains_key("retry-after"), "{response:?}");
    }
    assert!(streams_of_two_services(&fleet, &begun).is_empty());
}

#[tokio::test]
async fn stream_whose_route_was_split_goes_on_at_the_service_that_began_it() {
    let mut fleet = start_with_two_services("split_named").await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let begun = begin_streams(&fleet).await;
    fleet.route_drafts_to(&[(ENGINE_POOL, 1), (OTHER_POOL, 99)]);
    tokio::time::sleep(PROPAGATION_TIME).await;

    let resumed = resume_streams(&fleet, CURRENT_TAKER, &begun, true).await;

    assert_eq!(statuses(&resumed), [200; STREAM_COUNT]);
    assert!(streams_of_two_services(&fleet, &begun).is_empty());
}

/// The events of a whole stream.
const EVENT_COUNT: usize = 5;
/// How long a server is silent; longer than the callers' patience.
const SILENCE: Duration = Duration::from_millis(1_250);
/// The time without bytes after which a caller leaves and resumes its stream elsewhere.
const PATIENCE: Duration = Duration::from_millis(600);
/// The time from the begin of streams until the configuration changes.
const CHANGE_DELAY: Duration = Duration::from_millis(150);

/// Where in a stream its server is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    /// Before the first event.
    BeforeFirstEvent,
    /// Within an event.
    InsideEvent,
    /// After the last event, before the end of the body.
    BeforeEnd,
    /// After the server that began the stream broke it off, before the first event of another one.
    BetweenSegments,
}

impl Moment {
    const ALL: [Self; 4] =
        [Self::BeforeFirstEvent, Self::InsideEvent, Self::BeforeEnd, Self::BetweenSegments];

    fn of_request(request: &RawRequest) -> Option<Self> {
        let line = request.head.lines().next()?;
        Self::ALL.into_iter().find(|moment| line.contains(&format!("{moment:?}")))
    }
}

/// How the end of a stream's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Unframed,
}

impl Framing {
    fn of_request(request: &RawRequest) -> Self {
        let is_unframed = request.head.lines().next().is_some_and(|l| l.contains("Unframed"));
        if is_unframed { Self::Unframed } else { Self::Chunked }
    }

    fn header(self) -> &'static str {
        match self {
            Self::Chunked => "transfer-encoding: chunked\r\n",
            Self::Unframed => "",
        }
    }

    fn encode(self, text: &str) -> String {
        match self {
            Self::Chunked => format!("{:x}\r\n{text}\r\n", text.len()),
            Self::Unframed => text.to_owned(),
        }
    }

    /// Returns the bytes that end a body, and what becomes of the connection.
    fn end(self) -> (&'static str, RawEnd) {
        match self {
            Self::Chunked => ("0\r\n\r\n", RawEnd::StaysOpen),
            Self::Unframed => ("", RawEnd::Closes),
        }
    }
}

fn event(service: &str, number: usize) -> String {
    format!("id: {number}\ndata: {service} {number}\n\n")
}

/// Returns a stream that is silent once, unless its caller resumes it.
fn hushed_stream(service: &str, request: &RawRequest) -> RawResponse {
    let framing = Framing::of_request(request);
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {{id}}\r\nupstream-signature: s\r\n\
         content-type: text/event-stream\r\n{}\r\n",
        framing.header()
    );
    let last_id = request.header("last-event-id").and_then(|id| id.parse().ok());
    let is_resumed_by_caller =
        request.header("request-id").is_some_and(|id| id.contains("resumed"));
    let moment = Moment::of_request(request).filter(|_| !is_resumed_by_caller);
    let first = last_id.map_or(1, |last: usize| last + 1);
    let events: Vec<_> = (first..=EVENT_COUNT).map(|number| event(service, number)).collect();
    let whole = events.concat();
    if moment == Some(Moment::BetweenSegments) && last_id.is_none() {
        let text = head + &framing.encode(&events[..2].concat());
        return RawResponse { end: RawEnd::Resets, ..RawResponse::at_once(&text) };
    }
    let bytes_before = match moment {
        Some(Moment::InsideEvent) => whole.len() / 2,
        Some(Moment::BeforeEnd) | None => whole.len(),
        Some(Moment::BeforeFirstEvent | Moment::BetweenSegments) => 0,
    };
    let (before, after) = whole.split_at(bytes_before);
    let encode = |text: &str| if text.is_empty() { String::new() } else { framing.encode(text) };
    let (end_text, end) = framing.end();
    let silence = if moment.is_some() { SILENCE } else { Duration::ZERO };
    let writes =
        vec![(Duration::ZERO, head + &encode(before)), (silence, encode(after) + end_text)];
    RawResponse { writes, end }
}

/// Starts two servers of each service, which are silent at the moment that a request names.
async fn start_hushed_fleet(name: &str) -> (StandInFleet, Vec<RawServer>) {
    let fleet = start(name, 0).await;
    let mut servers = Vec::new();
    for (pool, number) in [(ENGINE_POOL, 0), (ENGINE_POOL, 1), (OTHER_POOL, 0), (OTHER_POOL, 1)] {
        let server = RawServer::start(move |request| hushed_stream(pool, request)).await.unwrap();
        fleet.list_server(pool, &format!("{pool}-{number}"), server.address);
        servers.push(server);
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    (fleet, servers)
}

/// A change of the configuration.
#[derive(Debug, Clone, Copy)]
enum Change {
    IdleTimeout,
    RouteTimeout,
    RouteSplit,
    RouteMoved,
}

impl Change {
    fn apply(self, fleet: &mut StandInFleet) {
        match self {
            Self::IdleTimeout => fleet.change_timeouts(ROUTE_TIMEOUT, IDLE_TIMEOUT / 2),
            Self::RouteTimeout => fleet.change_timeouts(ROUTE_TIMEOUT / 2, IDLE_TIMEOUT / 2),
            Self::RouteSplit => fleet.route_drafts_to(&[(ENGINE_POOL, 1), (OTHER_POOL, 99)]),
            Self::RouteMoved => fleet.route_drafts_to(&[(OTHER_POOL, 1)]),
        }
    }
}

/// What a caller received of one stream, over its attempts.
#[derive(Debug)]
struct ReceivedStream {
    /// The events, each as its service and its number.
    events: Vec<String>,
    /// Whether the last response was a complete success.
    is_complete: bool,
    statuses: Vec<String>,
}

impl ReceivedStream {
    /// Returns what rule ORDER forbids, if the stream shows it.
    fn violation(&self) -> Option<&'static str> {
        let parts: Vec<_> = self.events.iter().filter_map(|event| event.split_once(' ')).collect();
        let services: BTreeSet<_> = parts.iter().map(|(service, _)| service).collect();
        let numbers: Vec<usize> = parts.iter().filter_map(|(_, n)| n.parse().ok()).collect();
        if services.len() > 1 {
            return Some("events of two services");
        }
        if !numbers.iter().copied().eq(1..=numbers.len()) {
            return Some("an event is missing, or came twice");
        }
        (self.is_complete && numbers.len() != EVENT_COUNT).then_some("complete before its end")
    }
}

/// Sends a stream's request to a gateway; its caller leaves a silent server and resumes it at another
/// gateway.
async fn receive_stream(gateways: [SocketAddr; 2], path: &str, id: &str) -> ReceivedStream {
    let mut received =
        ReceivedStream { events: Vec::new(), is_complete: false, statuses: Vec::new() };
    let mut begun_by = None;
    for (gateway, attempt_id) in gateways.into_iter().zip([id.to_owned(), format!("{id}-resumed")])
    {
        let mut headers = Vec::new();
        if let Some(stream_id) = &begun_by {
            headers.push(("last-event-id", received.events.len().to_string()));
            headers.push(("resumes", String::clone(stream_id)));
        }
        let request = draft(path, id.len(), headers);
        let mut caller = RawCaller::connect(gateway).await.unwrap();
        caller.write(&request.encode(&attempt_id)).await.unwrap();
        let answer = caller.read_answer_until_silent(PATIENCE).await;
        let text = String::from_utf8_lossy(&answer.body);
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        received.events.extend(events.map(str::to_owned));
        if !received.events.is_empty() {
            begun_by.get_or_insert(attempt_id);
        }
        let status = answer.head.split(' ').nth(1).unwrap_or("-").to_owned();
        let is_framed = ["content-length", "transfer-encoding"]
            .iter()
            .any(|name| answer.header(name).is_some());
        let has_ended = match answer.end {
            AnswerEnd::Complete => true,
            AnswerEnd::Closed => !is_framed && !answer.head.is_empty(),
            AnswerEnd::Reset | AnswerEnd::CallerLeft => false,
        };
        received.is_complete = has_ended && status == "200";
        received.statuses.push(status);
        if has_ended {
            break;
        }
    }
    received
}

/// Begins streams that are silent at each moment while the configuration changes; their callers resume
/// them at a gateway that has the new version and at one that stands still until then.
async fn change_during_silence(
    fleet: &mut StandInFleet,
    change: Change,
) -> Vec<(String, ReceivedStream)> {
    let mut cases = Vec::new();
    for moment in Moment::ALL {
        for framing in [Framing::Chunked, Framing::Unframed] {
            for taker in [CURRENT_TAKER, LATE_TAKER] {
                let gateways = [BEGINNER, taker].map(|index| fleet.gateways[index].caller_address);
                let id = format!("{change:?}-{moment:?}-{framing:?}-{taker}");
                cases.push((id, gateways, format!("/draft/{moment:?}/{framing:?}")));
            }
        }
    }
    let streams = cases.iter().map(|(id, gateways, path)| receive_stream(*gateways, path, id));
    let changing = async {
        tokio::time::sleep(CHANGE_DELAY).await;
        fleet.gateways[LATE_TAKER].set_paused(true).unwrap();
        change.apply(fleet);
        tokio::time::sleep(PATIENCE).await;
        fleet.gateways[LATE_TAKER].set_paused(false).unwrap();
    };

    let (received, ()) = tokio::join!(join_all(streams), changing);

    cases.into_iter().map(|(id, _, _)| id).zip(received).collect()
}

// Sound servers are silent for a second, each at another moment of its stream, while the configuration
// changes.
#[tokio::test]
async fn pieces_of_hushed_streams_come_in_order_while_the_configuration_changes() {
    let (mut fleet, _servers) = start_hushed_fleet("matrix").await;
    let changes =
        [Change::IdleTimeout, Change::RouteTimeout, Change::RouteSplit, Change::RouteMoved];

    let mut received = Vec::new();
    for change in changes {
        received.extend(change_during_silence(&mut fleet, change).await);
        fleet.route_drafts_to(&[(ENGINE_POOL, 1)]);
        tokio::time::sleep(PROPAGATION_TIME).await;
    }

    let violations: Vec<_> = received
        .iter()
        .filter_map(|(id, stream)| stream.violation().map(|violation| (id, violation, stream)))
        .collect();
    let allowed: Vec<_> = received
        .iter()
        .filter(|(id, _)| !id.starts_with(&format!("{:?}", Change::RouteMoved)))
        .collect();
    let complete_count = allowed.iter().filter(|(_, stream)| stream.is_complete).count();
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(complete_count * 2 >= allowed.len(), "{allowed:#?}");
}
