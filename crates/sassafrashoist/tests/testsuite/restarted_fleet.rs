//! Tests of streams that callers take up after all gateways were killed at once, so that no process
//! knows any more where they began.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use futures::future::join_all;
use http::Method;
use sassafrashoist_platform_stand_in::backend_server::ServerFault;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::log_service::LogFault;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    DRAFT_PATH, ENGINE_POOL, EVENT_INTERVAL, FleetPlan, ORIGINS_TOPIC, SECOND_ENGINE_POOL,
    StandInFleet,
};

const STREAM_COUNT: usize = 8;
const GATEWAY_COUNT: usize = 2;
/// How long a change in the log service may take to become active, with a margin for a slow
/// machine.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// The time after a restart for which entries of servers may be missing from the list, with a margin.
const MAX_ENTRY_DELAY: Duration = Duration::from_millis(3_500);

/// The time after a restart at which callers return that do not wait until entries are complete: the
/// rest of the delay is within their patience of 2 s, less the target latency of the route.
const EARLY_TAKE_UP_DELAY: Duration = Duration::from_millis(2_000);
/// The time after which the origin of a stream is in the log, with a margin for a slow machine.
const STORE_TIME: Duration = Duration::from_millis(1_000);

/// What became of the streams that were taken up.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct TakenUp {
    /// Streams that went on at the version that began them.
    same_version: usize,
    /// Streams that went on at another version.
    other_version: usize,
    /// Streams that were refused with 503.
    refused: usize,
}

/// A stream that broke off.
#[derive(Debug)]
struct BrokenStream {
    id: String,
    event_count: usize,
    versions: BTreeSet<String>,
}

async fn start(name: &str) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("restarted_fleet").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: GATEWAY_COUNT,
        engine_count: 4,
        plain_count: 0,
        paid_tokens: 10_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

async fn start_with_two_versions(name: &str) -> StandInFleet {
    let mut fleet = start(name).await;
    fleet.set_engine_version(2, "v2");
    fleet.set_engine_version(3, "v2");
    tokio::time::sleep(PROPAGATION_TIME).await;
    fleet
}

/// Returns a request that does not name its tokens: those of the processes before may not be back.
fn draft(number: usize, headers: Vec<(&'static str, String)>) -> CallerRequest {
    let mut request = CallerRequest::plain(Method::POST, DRAFT_PATH);
    request.headers = vec![("prefix-hash", format!("a{number}:450,b{number}:450"))];
    request.headers.extend(headers);
    request
}

fn versions_of(fleet: &StandInFleet, id: &str) -> BTreeSet<String> {
    fleet.versions_of(id).into_iter().map(str::to_owned).collect()
}

/// Begins streams, which break off after two events.
async fn begin_streams(fleet: &StandInFleet) -> Vec<BrokenStream> {
    fleet.engines.iter().for_each(|engine| engine.set_fault(ServerFault::DisconnectsAfter(2)));
    let mut begun = Vec::new();
    for number in 0..STREAM_COUNT {
        let id = format!("begun-{number}");
        let response = fleet.send(number % GATEWAY_COUNT, &id, &draft(number, Vec::new())).await;
        let body = response.unwrap().body;
        let event_count = String::from_utf8_lossy(&body).matches("\n\n").count();
        assert!(event_count >= 2, "{body:?}");
        let versions = versions_of(fleet, &id);
        assert_eq!(versions.len(), 1, "{id}: {versions:?}");
        begun.push(BrokenStream { id, event_count, versions });
    }
    fleet.engines.iter().for_each(|engine| engine.set_fault(ServerFault::None));
    begun
}

/// Stops and starts the gateways one after the other, so that a later one may keep an origin while an
/// earlier one is restarted.
async fn restart_in_turn(fleet: &mut StandInFleet) {
    for gateway in &mut fleet.gateways {
        gateway.terminate().unwrap();
        gateway.wait_for_exit().await.unwrap();
        gateway.respawn().unwrap();
        gateway.wait_until_ready().await.unwrap();
    }
}

async fn kill_all_and_restart(fleet: &mut StandInFleet) {
    fleet.gateways.iter_mut().for_each(|gateway| gateway.kill().unwrap());
    fleet.gateways.iter_mut().for_each(|gateway| gateway.respawn().unwrap());
    for gateway in &fleet.gateways {
        gateway.wait_until_ready().await.unwrap();
    }
}

/// Begins streams whose origins never reach the log: the processes are killed before.
async fn begin_streams_of_unwritten_origin(fleet: &mut StandInFleet) -> Vec<BrokenStream> {
    fleet.log.set_fault(LogFault::TopicDown(ORIGINS_TOPIC));
    let begun = begin_streams(fleet).await;
    fleet.gateways.iter_mut().for_each(|gateway| gateway.kill().unwrap());
    fleet.log.set_fault(LogFault::None);
    begun
}

/// Takes streams up, all at the same time, each at another gateway than the one that began it.
async fn take_up(fleet: &StandInFleet, begun: &[BrokenStream]) -> TakenUp {
    let responses = join_all(begun.iter().enumerate().map(|(number, stream)| async move {
        let last_event = ("last-event-id", stream.event_count.to_string());
        let request = draft(number, vec![last_event, ("resumes", stream.id.clone())]);
        let id = format!("{}-resumed", stream.id);
        fleet.send((number + 1) % GATEWAY_COUNT, &id, &request).await.unwrap()
    }))
    .await;
    let mut taken_up = TakenUp::default();
    for (stream, response) in begun.iter().zip(responses) {
        let versions = versions_of(fleet, &format!("{}-resumed", stream.id));
        match response.status {
            200 if versions == stream.versions => taken_up.same_version += 1,
            503 if versions.is_empty() => taken_up.refused += 1,
            _ => taken_up.other_version += 1,
        }
    }
    taken_up
}

const ALL_GO_ON: TakenUp = TakenUp { same_version: STREAM_COUNT, other_version: 0, refused: 0 };
const ALL_REFUSED: TakenUp = TakenUp { same_version: 0, other_version: 0, refused: STREAM_COUNT };

#[tokio::test]
async fn streams_go_on_after_all_gateways_were_killed_where_there_was_one_version() {
    let mut fleet = start("one_version").await;
    let begun = begin_streams(&fleet).await;

    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let taken_up = take_up(&fleet, &begun).await;

    assert_eq!(taken_up, ALL_GO_ON);
}

// A caller tries once or twice; entries of servers may be missing from the list for 3 s after it was
// first read.
#[tokio::test]
async fn streams_go_on_that_are_taken_up_before_the_server_list_can_be_relied_on() {
    let mut fleet = start("early_take_ups").await;
    let begun = begin_streams(&fleet).await;

    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(EARLY_TAKE_UP_DELAY).await;
    let taken_up = take_up(&fleet, &begun).await;

    assert_eq!(taken_up, ALL_GO_ON);
}

// An outage of the log service that ends just before the callers return makes all lists recent again.
#[tokio::test]
async fn streams_go_on_that_are_taken_up_while_the_server_list_cannot_be_read() {
    let mut fleet = start("list_unread").await;
    let begun = begin_streams(&fleet).await;
    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    fleet.log.set_fault(LogFault::TopicDown("keyed.servers"));

    let (taken_up, ()) = tokio::join!(take_up(&fleet, &begun), async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        fleet.log.set_fault(LogFault::None);
    });

    assert_eq!(taken_up, ALL_GO_ON);
}

// Guards against review/8: no process knew where a stream began, and all were refused.
#[tokio::test]
async fn streams_go_on_after_all_gateways_were_killed_during_a_release() {
    let mut fleet = start_with_two_versions("two_versions").await;
    let begun = begin_streams(&fleet).await;
    tokio::time::sleep(STORE_TIME).await;

    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let taken_up = take_up(&fleet, &begun).await;

    assert_eq!(taken_up, ALL_GO_ON);
}

// Guards against review/9: the VMs that kept an origin lost it one after the other.
#[tokio::test]
async fn streams_go_on_after_the_gateways_were_stopped_in_turn_during_a_release() {
    let mut fleet = start_with_two_versions("stopped_in_turn").await;
    let begun = begin_streams(&fleet).await;

    restart_in_turn(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let taken_up = take_up(&fleet, &begun).await;

    assert_eq!(taken_up, ALL_GO_ON);
}

// The log service may be out of reach when a stream begins, and when it is taken up.
#[tokio::test]
async fn streams_go_on_whose_origins_could_not_be_written_and_read_for_a_time() {
    let mut fleet = start_with_two_versions("origins_out_of_reach").await;
    fleet.log.set_fault(LogFault::TopicDown(ORIGINS_TOPIC));
    let begun = begin_streams(&fleet).await;
    tokio::time::sleep(STORE_TIME).await;
    fleet.log.set_fault(LogFault::None);
    tokio::time::sleep(STORE_TIME).await;

    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    fleet.log.set_fault(LogFault::TopicDown(ORIGINS_TOPIC));
    let (taken_up, ()) = tokio::join!(take_up(&fleet, &begun), async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        fleet.log.set_fault(LogFault::None);
    });

    assert_eq!(taken_up, ALL_GO_ON);
}

// A record that another process wrote may be no batch of origins.
#[tokio::test]
async fn streams_are_not_joined_if_their_origins_were_never_written() {
    let mut fleet = start_with_two_versions("origins_unwritten").await;
    let begun = begin_streams_of_unwritten_origin(&mut fleet).await;
    fleet.log.write(ORIGINS_TOPIC, "odd", b"\xff\xff\xff\xff\xff");

    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let taken_up = take_up(&fleet, &begun).await;

    assert_eq!(taken_up, ALL_REFUSED);
}

// The newest entries name one version only.
#[tokio::test]
async fn streams_of_a_version_that_left_before_all_gateways_were_killed_are_not_joined() {
    let mut fleet = start_with_two_versions("old_version_left").await;
    let begun = begin_streams_of_unwritten_origin(&mut fleet).await;
    fleet.unlist_engine(0);
    fleet.unlist_engine(1);

    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let taken_up = take_up(&fleet, &begun).await;

    assert_eq!(taken_up, ALL_REFUSED);
}

// The records of a version that has left may be gone.
#[tokio::test]
async fn no_stream_goes_on_by_a_server_list_that_was_trimmed_or_has_lost_records() {
    for (name, loses_records) in [("trimmed", false), ("lost_records", true)] {
        let mut fleet = start_with_two_versions(name).await;
        let begun = begin_streams_of_unwritten_origin(&mut fleet).await;
        fleet.unlist_engine(0);
        fleet.unlist_engine(1);
        if loses_records {
            fleet.lose_newest_ledger_records(0);
        } else {
            fleet.trim_topics();
        }

        kill_all_and_restart(&mut fleet).await;
        tokio::time::sleep(MAX_ENTRY_DELAY).await;
        let taken_up = take_up(&fleet, &begun).await;

        assert_eq!(taken_up, ALL_REFUSED, "{name}");
    }
}

#[tokio::test]
async fn streams_of_a_route_that_was_moved_before_all_gateways_were_killed_are_not_joined() {
    let mut fleet = start("moved").await;
    fleet.start_second_engines(&["v1", "v1"], EVENT_INTERVAL).await.unwrap();
    tokio::time::sleep(PROPAGATION_TIME).await;
    let begun = begin_streams_of_unwritten_origin(&mut fleet).await;
    fleet.route_drafts_to(&[(SECOND_ENGINE_POOL, 1)]);

    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let moved = take_up(&fleet, &begun).await;
    fleet.route_drafts_to(&[(ENGINE_POOL, 1)]);
    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let moved_back = take_up(&fleet, &begun).await;

    assert_eq!((moved, moved_back), (ALL_REFUSED, ALL_REFUSED));
}

#[tokio::test]
async fn streams_go_on_only_at_their_version_if_another_one_has_left_the_list() {
    let mut fleet = start_with_two_versions("stored_version_left").await;
    let begun = begin_streams(&fleet).await;
    tokio::time::sleep(STORE_TIME).await;
    fleet.unlist_engine(0);
    fleet.unlist_engine(1);
    let is_served = |stream: &&BrokenStream| stream.versions.contains("v2");
    let served_count = begun.iter().filter(is_served).count();

    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let taken_up = take_up(&fleet, &begun).await;

    let refused = STREAM_COUNT - served_count;
    assert_eq!(taken_up, TakenUp { same_version: served_count, other_version: 0, refused });
}

#[tokio::test]
async fn streams_go_on_only_while_their_route_leads_to_the_pool_that_began_them() {
    let mut fleet = start("stored_moved").await;
    fleet.start_second_engines(&["v1", "v1"], EVENT_INTERVAL).await.unwrap();
    tokio::time::sleep(PROPAGATION_TIME).await;
    let begun = begin_streams(&fleet).await;
    tokio::time::sleep(STORE_TIME).await;
    fleet.route_drafts_to(&[(SECOND_ENGINE_POOL, 1)]);

    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let moved = take_up(&fleet, &begun).await;
    fleet.route_drafts_to(&[(ENGINE_POOL, 1)]);
    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let moved_back = take_up(&fleet, &begun).await;

    assert_eq!((moved, moved_back), (ALL_REFUSED, ALL_GO_ON));
}

// An origin that was recorded by an old server list names the version of an earlier start.
#[tokio::test]
async fn streams_are_not_joined_if_their_server_may_have_started_again_before() {
    let mut fleet = start_with_two_versions("stored_restarted").await;
    let begun = begin_streams(&fleet).await;
    tokio::time::sleep(STORE_TIME).await;
    for engine in 0..4 {
        let other = if fleet.engine_version(engine) == "v1" { "v2" } else { "v1" };
        fleet.set_engine_version(engine, other);
    }

    kill_all_and_restart(&mut fleet).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    let taken_up = take_up(&fleet, &begun).await;

    assert_eq!(taken_up, ALL_REFUSED);
}
