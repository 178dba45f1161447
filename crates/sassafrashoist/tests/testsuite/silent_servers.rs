//! Tests of streams and requests at backend servers that stand still for a while and go on.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use futures::future::join_all;
use http::Method;
use sassafrashoist_platform_stand_in::backend_server::{BackendServer, ServerFault};
use sassafrashoist_platform_stand_in::caller::{CallerRequest, CallerResponse};
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    CHAT_PATH, DRAFT_PATH, EVENT_COUNT, FleetPlan, STATUS_PATH, StandInFleet,
};

const PROMPT_TOKENS: u64 = 900;
const OUTPUT_TOKENS: u64 = 100;
const GATEWAY_COUNT: usize = 2;
const ENGINE_COUNT: usize = 5;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(150);
/// The time after which the streams of a test are in progress.
const START_TIME: Duration = Duration::from_millis(350);
/// The time after which callers abandon a stream that does not go on.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);

async fn start(name: &str) -> StandInFleet {
    let plan = FleetPlan {
        gateway_count: GATEWAY_COUNT,
        engine_count: ENGINE_COUNT,
        plain_count: 3,
        paid_tokens: 10_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    start_fleet(name, plan).await
}

async fn start_fleet(name: &str, plan: FleetPlan) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("silent_servers").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

fn stream(path: &str) -> CallerRequest {
    let timeout = Duration::from_secs(8);
    CallerRequest { timeout, ..CallerRequest::to_model(path, PROMPT_TOKENS, OUTPUT_TOKENS) }
}

fn status() -> CallerRequest {
    CallerRequest::plain(Method::GET, STATUS_PATH)
}

/// Sends requests over all gateways, the same number of each kind.
async fn send_all(
    fleet: &StandInFleet,
    name: &str,
    count: usize,
    requests: &[CallerRequest],
) -> Vec<CallerResponse> {
    let sent = (0..count).map(|number| async move {
        let request = &requests[number % requests.len()];
        let gateway = (number / requests.len()) % GATEWAY_COUNT;
        fleet.send(gateway, &format!("{name}-{number}"), request).await.unwrap()
    });
    join_all(sent).await
}

/// Makes servers stand still for a time.
async fn pause(servers: &[BackendServer], duration: Duration) {
    servers.iter().for_each(|server| server.set_standing_still(true));
    tokio::time::sleep(duration).await;
    servers.iter().for_each(|server| server.set_standing_still(false));
}

fn is_whole(response: &CallerResponse) -> bool {
    response.status == 200 && response.is_complete()
}

fn count_whole(responses: &[CallerResponse]) -> usize {
    responses.iter().filter(|response| is_whole(response)).count()
}

/// Returns how many times the gateways sent a request to a server.
fn count_attempts(fleet: &StandInFleet) -> usize {
    let logs = fleet.gateways.iter().map(|gateway| gateway.read_log().unwrap());
    let is_attempt =
        |line: &&str| line.contains("\"request sent\"") || line.contains("\"stream resumed\"");
    logs.map(|log| log.lines().filter(is_attempt).count()).sum()
}

// Streams were moved and broken off after 1.5 s although every server went on soon after.
#[tokio::test]
async fn streams_go_on_after_all_servers_were_silent() {
    let fleet = start("all_streams").await;
    let requests = [stream(DRAFT_PATH), stream(CHAT_PATH)];
    let sent = send_all(&fleet, "all", 100, &requests);
    let silence = async {
        tokio::time::sleep(START_TIME).await;
        pause(&fleet.engines, Duration::from_millis(1_700)).await;
    };

    let (responses, ()) = tokio::join!(sent, silence);

    assert_eq!((count_whole(&responses), count_attempts(&fleet)), (100, 100));
}

// Requests without a first event were sent to a second server that was silent too.
#[tokio::test]
async fn requests_wait_for_their_server_while_all_servers_are_silent() {
    let fleet = start("all_requests").await;
    let requests = [stream(DRAFT_PATH), stream(CHAT_PATH), status()];
    let sent = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        send_all(&fleet, "waiting", 60, &requests).await
    };
    let silence = Duration::from_millis(1_250);

    let (responses, (), ()) =
        tokio::join!(sent, pause(&fleet.engines, silence), pause(&fleet.plain_servers, silence));

    assert_eq!((count_whole(&responses), count_attempts(&fleet)), (60, 60));
}

// A server that is silent for good must not hold its streams and requests.
#[tokio::test]
async fn streams_and_requests_leave_the_only_silent_server_before_callers_do() {
    let fleet = start("one_dark").await;
    let requests = [stream(DRAFT_PATH)];
    let streams = send_all(&fleet, "stream", 20, &requests);
    let silence = async {
        tokio::time::sleep(START_TIME).await;
        fleet.engines[0].set_standing_still(true);
        fleet.plain_servers[0].set_standing_still(true);
        tokio::time::sleep(EVENT_INTERVAL).await;
        let started_at = Instant::now();
        let late = send_all(&fleet, "late", 12, &[status()]).await;
        (late, started_at.elapsed())
    };

    let started_at = Instant::now();
    let (responses, (late, late_took)) = tokio::join!(streams, silence);
    let took = started_at.elapsed();

    let undisturbed = EVENT_INTERVAL * EVENT_COUNT as u32;
    assert_eq!((count_whole(&responses), count_whole(&late)), (20, 12));
    assert!(!fleet.engines[0].executed_requests().is_empty());
    assert!(took < undisturbed + CALLER_PATIENCE, "{took:?}");
    assert!(late_took < Duration::from_millis(900), "{late_took:?}");
}

// A server that is dark for good kept its streams for 6.8 s: another one that sends an event every
// 0.5 s was taken for silent between two events.
#[tokio::test]
async fn stream_leaves_a_dark_server_beside_one_with_slow_events() {
    let event_interval = Duration::from_millis(500);
    let plan = FleetPlan {
        gateway_count: 1,
        engine_count: 2,
        plain_count: 1,
        paid_tokens: 10_000_000,
        has_own_paths: false,
        event_interval,
    };
    let mut fleet = start_fleet("slow_events", plan).await;
    fleet.change_timeouts(Duration::from_secs(14), Duration::from_secs(15));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let request = CallerRequest { timeout: Duration::from_secs(13), ..stream(DRAFT_PATH) };
    // Two kinds of requests go to the only gateway in turn.
    let requests = [request.clone(), request];
    let streams = send_all(&fleet, "begun", 2, &requests);
    let dark = async {
        tokio::time::sleep(event_interval + START_TIME).await;
        fleet.engines[0].set_standing_still(true);
        // The other engine keeps sending events.
        send_all(&fleet, "beside", 2, &requests).await
    };
    let started_at = Instant::now();

    let (responses, _) = tokio::join!(
        async {
            let responses = streams.await;
            (responses, started_at.elapsed())
        },
        dark
    );

    let (responses, took) = responses;
    let undisturbed = event_interval * EVENT_COUNT as u32;
    assert_eq!(count_whole(&responses), 2);
    assert!(took < undisturbed + CALLER_PATIENCE + event_interval, "{took:?}");
}

// A pause of most servers that is shorter than the patience of callers breaks no stream off.
#[tokio::test]
async fn streams_go_on_after_most_servers_were_silent() {
    let fleet = start("most").await;
    let requests = [stream(DRAFT_PATH), stream(CHAT_PATH)];
    let sent = send_all(&fleet, "most", 40, &requests);
    let silence = async {
        tokio::time::sleep(START_TIME).await;
        pause(&fleet.engines[..3], Duration::from_millis(1_100)).await;
    };

    let (responses, ()) = tokio::join!(sent, silence);

    assert_eq!((count_whole(&responses), count_attempts(&fleet)), (40, 40));
}

// A gateway that stood still took the servers for silent.
#[tokio::test]
async fn streams_go_on_after_their_gateway_stood_still() {
    let fleet = start("gateway").await;
    let requests = [stream(DRAFT_PATH), stream(CHAT_PATH)];
    let sent = send_all(&fleet, "paused", 24, &requests);
    let standstill = async {
        tokio::time::sleep(START_TIME).await;
        fleet.gateways.iter().for_each(|gateway| gateway.set_paused(true).unwrap());
        tokio::time::sleep(Duration::from_millis(1_700)).await;
        fleet.gateways.iter().for_each(|gateway| gateway.set_paused(false).unwrap());
    };

    let (responses, ()) = tokio::join!(sent, standstill);

    assert_eq!((count_whole(&responses), count_attempts(&fleet)), (24, 24));
}

// A moved stream must not be given to another silent server, nor be broken off if there is no other.
#[tokio::test]
async fn stream_waits_for_its_server_if_no_server_of_its_version_speaks() {
    let mut fleet = start("version").await;
    fleet.set_engine_version(0, "v2");
    (2..ENGINE_COUNT).for_each(|engine| fleet.unlist_engine(engine));
    fleet.engines[1].set_fault(ServerFault::Overloaded);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let draft = [stream(DRAFT_PATH)];
    let sent = async {
        // The only server of its version begins the stream.
        send_all(&fleet, "version", 4, &draft).await
    };
    let silence = async {
        tokio::time::sleep(START_TIME).await;
        fleet.engines[1].set_fault(ServerFault::None);
        let pausing = pause(&fleet.engines[..1], Duration::from_millis(1_700));
        let others = send_all(&fleet, "other", 6, &draft);
        tokio::join!(pausing, others).1
    };

    let (responses, others) = tokio::join!(sent, silence);

    assert_eq!((count_whole(&responses), count_whole(&others)), (4, 6));
}
