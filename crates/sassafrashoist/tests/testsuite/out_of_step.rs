//! Tests of a gateway that is out of step with the others for a while as servers of another software
//! version join: streams that began at other gateways are resumed at it.

use std::collections::BTreeSet;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use futures::future::join_all;
use http::Method;
use sassafrashoist_platform_stand_in::backend_server::ServerFault;
use sassafrashoist_platform_stand_in::caller::{CallerRequest, CallerResponse};
use sassafrashoist_platform_stand_in::http_listener::PathFault;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    DRAFT_PATH, EVENT_INTERVAL, FIRST_VERSION, FleetPlan, StandInFleet,
};
use sassafrashoist_testkit::tcp_link::LinkFaults;

const STREAM_COUNT: usize = 6;
/// The gateway that is out of step, at which streams are resumed; the streams begin at gateway 0.
const TAKER: usize = 1;
/// How long a change in the log service may take to become active, with a margin for a slow
/// machine.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// The time after which a gateway knows that a pool has had one software version only for as long as
/// a stream of its route lasts, with a margin.
const SOLE_VERSION_TIME: Duration = Duration::from_millis(22_500);

/// The time for which a gateway doubts the origin of a stream whose server has restarted, with a
/// margin.
const MAX_ENTRY_DELAY: Duration = Duration::from_millis(3_500);
/// Time between two entries of a server in the list.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);

/// How the gateway at which streams are resumed is out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutOfStep {
    /// It reaches neither the log service nor other gateways.
    CutOff,
    /// It does not reach the log service.
    CutOffFromLog,
    /// It does not reach the log service, and reaches servers only through other gateways.
    Relayed,
    /// It does not reach other gateways.
    CutOffFromOthers,
    /// Its process stands still until streams are resumed.
    StandsStill,
    /// Responses of the log service come late.
    ReadsLate,
    /// It is in step.
    Not,
}

impl OutOfStep {
    fn set(self, fleet: &StandInFleet, is_set: bool) {
        match self {
            Self::CutOff | Self::CutOffFromLog => fleet.links[TAKER].set_cut(is_set),
            Self::Relayed => {
                fleet.links[TAKER].set_cut(is_set);
                fleet.set_path_fault(TAKER, PathFault::RefusesNew);
            }
            Self::StandsStill => fleet.gateways[TAKER].set_paused(is_set).unwrap(),
            Self::ReadsLate => {
                let delay = Duration::from_millis(if is_set { 900 } else { 0 });
                fleet.links[TAKER].set_faults(LinkFaults { delay, ..LinkFaults::default() });
            }
            Self::CutOffFromOthers | Self::Not => {}
        }
    }

    /// Returns how many gateways there are. Streams that begin at a gateway are known to three: some
    /// of them not to the taker, if there are more.
    fn gateway_count(self) -> usize {
        if self.reaches_others() { 3 } else { 6 }
    }

    /// Returns whether it reaches other gateways when streams are resumed during a release.
    fn reaches_others(self) -> bool {
        matches!(self, Self::CutOffFromLog | Self::Relayed | Self::ReadsLate | Self::Not)
    }
}

/// What became of the streams that were resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Resumed {
    /// Streams that went on at the version that began them.
    same_version: usize,
    /// Streams that went on at another version.
    other_version: usize,
    /// Streams that were refused with 503.
    refused: usize,
}

async fn start(name: &str, gateway_count: usize) -> StandInFleet {
    start_with(name, gateway_count, false).await
}

async fn start_with(name: &str, gateway_count: usize, has_own_paths: bool) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("out_of_step").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count,
        engine_count: 4,
        plain_count: 0,
        paid_tokens: 10_000_000,
        has_own_paths,
        event_interval: EVENT_INTERVAL,
    };
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

/// Lets engines of the first version write their entries until that is known as the sole version.
async fn wait_for_sole_version(fleet: &mut StandInFleet, engines: Range<usize>) {
    let since = Instant::now();
    while since.elapsed() < SOLE_VERSION_TIME {
        engines.clone().for_each(|engine| fleet.set_engine_version(engine, FIRST_VERSION));
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Returns a request whose prompt is its own, so that streams spread over the servers. It does not
/// name its tokens, because a gateway without the log service may refuse it for lack of them.
fn draft(number: usize, headers: Vec<(&'static str, String)>) -> CallerRequest {
    let mut request = CallerRequest::plain(Method::POST, DRAFT_PATH);
    request.headers = vec![("prefix-hash", format!("a{number}:450,b{number}:450"))];
    request.headers.extend(headers);
    request
}

fn set_faults(fleet: &StandInFleet, fault: ServerFault) {
    fleet.engines.iter().for_each(|engine| engine.set_fault(fault));
}

fn owned_versions(fleet: &StandInFleet, id: &str) -> BTreeSet<String> {
    fleet.versions_of(id).into_iter().map(str::to_owned).collect()
}

/// A stream that broke off.
#[derive(Debug)]
struct BrokenStream {
    id: String,
    number: usize,
    event_count: usize,
    versions: BTreeSet<String>,
}

/// Begins streams at the first gateway, which break off by faults of the servers, and ends the faults.
async fn begin_streams(fleet: &StandInFleet, count: usize) -> Vec<BrokenStream> {
    let mut begun = Vec::new();
    for number in 0..count {
        let id = format!("begun-{number}");
        let response = fleet.send(0, &id, &draft(number, Vec::new())).await.unwrap();
        let event_count = String::from_utf8_lossy(&response.body).matches("\n\n").count();
        assert!(event_count >= 2, "{response:?}");
        let versions = owned_versions(fleet, &id);
        assert_eq!(versions.len(), 1, "{id}: {versions:?}");
        begun.push(BrokenStream { id, number, event_count, versions });
    }
    set_faults(fleet, ServerFault::None);
    begun
}

fn resume(stream: &BrokenStream, names_stream: bool) -> CallerRequest {
    let mut headers = vec![("last-event-id", stream.event_count.to_string())];
    if names_stream {
        headers.push(("resumes", stream.id.clone()));
    }
    draft(stream.number, headers)
}

/// Resumes streams at the gateway that is out of step, all at the same time.
async fn resume_streams(
    fleet: &StandInFleet,
    begun: &[BrokenStream],
    names_stream: bool,
) -> Resumed {
    let responses: Vec<CallerResponse> = join_all(begun.iter().map(|stream| async move {
        let request = resume(stream, names_stream);
        fleet.send(TAKER, &format!("{}-resumed", stream.id), &request).await.unwrap()
    }))
    .await;
    let mut resumed = Resumed { same_version: 0, other_version: 0, refused: 0 };
    for (stream, response) in begun.iter().zip(responses) {
        let versions = owned_versions(fleet, &format!("{}-resumed", stream.id));
        match response.status {
            200 if versions == stream.versions => resumed.same_version += 1,
            503 if versions.is_empty() => resumed.refused += 1,
            _ => resumed.other_version += 1,
        }
    }
    resumed
}

fn pause_others(fleet: &StandInFleet, is_paused: bool) {
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        if index != TAKER {
            gateway.set_paused(is_paused).unwrap();
        }
    }
}

/// Lets servers of another version join, and those of the first one drain, while a gateway is out of
/// step for `silence`, and resumes there what began at the new servers.
async fn release(
    name: &str,
    out_of_step: OutOfStep,
    silence: Duration,
    names_stream: bool,
) -> Resumed {
    let has_own_paths = out_of_step == OutOfStep::Relayed;
    let mut fleet = start_with(name, out_of_step.gateway_count(), has_own_paths).await;
    fleet.unlist_engine(2);
    fleet.unlist_engine(3);
    wait_for_sole_version(&mut fleet, 0..2).await;
    out_of_step.set(&fleet, true);
    let since = Instant::now();
    fleet.set_engine_version(2, "v2");
    fleet.set_engine_version(3, "v2");
    fleet.drain_engine(0);
    fleet.drain_engine(1);
    tokio::time::sleep(PROPAGATION_TIME).await;
    set_faults(&fleet, ServerFault::DisconnectsAfter(2));
    let begun = begin_streams(&fleet, STREAM_COUNT).await;
    tokio::time::sleep(silence.saturating_sub(since.elapsed())).await;
    if !out_of_step.reaches_others() {
        pause_others(&fleet, true);
    }
    let resumed = resume_streams_and_wake(&fleet, &begun, out_of_step, names_stream).await;
    println!("{name}: {resumed:?}");
    resumed
}

/// Resumes streams; a gateway that stands still goes on as soon as they are sent.
async fn resume_streams_and_wake(
    fleet: &StandInFleet,
    begun: &[BrokenStream],
    out_of_step: OutOfStep,
    names_stream: bool,
) -> Resumed {
    let resuming = resume_streams(fleet, begun, names_stream);
    let waking = async {
        if out_of_step == OutOfStep::StandsStill {
            tokio::time::sleep(Duration::from_millis(50)).await;
            out_of_step.set(fleet, false);
        }
    };
    let (resumed, ()) = tokio::join!(resuming, waking);
    resumed
}

// The list of a gateway that was cut off a moment ago has one version only.
#[tokio::test]
async fn gateway_cut_off_during_a_release_joins_no_versions() {
    let silences = [1, 3, 10].map(Duration::from_secs);

    let resumed = join_all(silences.map(|silence| async move {
        let name = format!("cut_off_{}", silence.as_secs());
        release(&name, OutOfStep::CutOff, silence, true).await
    }))
    .await;

    assert!(resumed.iter().all(|resumed| resumed.other_version == 0), "{resumed:?}");
}

// A response that was sent before the process stood still arrives when it goes on.
#[tokio::test]
async fn gateway_that_stood_still_during_a_release_joins_no_versions() {
    let silences = [1, 3, 10].map(Duration::from_secs);

    let resumed = join_all(silences.map(|silence| async move {
        let name = format!("stands_still_{}", silence.as_secs());
        release(&name, OutOfStep::StandsStill, silence, true).await
    }))
    .await;

    assert!(resumed.iter().all(|resumed| resumed.other_version == 0), "{resumed:?}");
}

// A caller that does not name its stream leaves only the list to tell the version.
#[tokio::test]
async fn gateway_with_an_old_list_joins_no_versions_of_streams_without_a_name() {
    let cases = [
        ("unnamed_log_1", OutOfStep::CutOffFromLog, 1),
        ("unnamed_log_3", OutOfStep::CutOffFromLog, 3),
        ("unnamed_late_1", OutOfStep::ReadsLate, 1),
        ("unnamed_relayed_1", OutOfStep::Relayed, 1),
    ];

    let resumed = join_all(cases.map(|(name, out_of_step, silence_s)| async move {
        release(name, out_of_step, Duration::from_secs(silence_s), false).await
    }))
    .await;

    assert!(resumed.iter().all(|resumed| resumed.other_version == 0), "{resumed:?}");
}

#[tokio::test]
async fn gateway_with_an_old_list_goes_by_what_others_know_of_a_stream() {
    let cases = [
        ("named_log_1", OutOfStep::CutOffFromLog, 1),
        ("named_log_3", OutOfStep::CutOffFromLog, 3),
        ("named_late_1", OutOfStep::ReadsLate, 1),
        ("named_others_1", OutOfStep::CutOffFromOthers, 1),
    ];

    let resumed = join_all(cases.map(|(name, out_of_step, silence_s)| async move {
        release(name, out_of_step, Duration::from_secs(silence_s), true).await
    }))
    .await;

    assert!(resumed.iter().all(|resumed| resumed.other_version == 0), "{resumed:?}");
}

#[tokio::test]
async fn gateway_in_step_resumes_all_streams_during_a_release() {
    let resumed = release("in_step", OutOfStep::Not, Duration::from_secs(1), true).await;

    assert_eq!(resumed, Resumed { same_version: STREAM_COUNT, other_version: 0, refused: 0 });
}

#[tokio::test]
async fn gateway_in_step_resumes_streams_without_a_name_where_there_is_one_version() {
    let mut fleet = start("one_version", 3).await;
    wait_for_sole_version(&mut fleet, 0..4).await;
    set_faults(&fleet, ServerFault::DisconnectsAfter(2));
    let begun = begin_streams(&fleet, STREAM_COUNT).await;

    let resumed = resume_streams(&fleet, &begun, false).await;

    assert_eq!(resumed, Resumed { same_version: STREAM_COUNT, other_version: 0, refused: 0 });
}

/// Begins streams, and lets most servers restart under their ids with another version while a gateway
/// does not read the list for `silence`; resumes the streams there.
async fn restart_servers(out_of_step: OutOfStep, silence: Duration) -> Resumed {
    let name = format!("restarted_{out_of_step:?}_{}", silence.as_secs());
    let mut fleet = start_with(&name, 3, out_of_step == OutOfStep::Relayed).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    set_faults(&fleet, ServerFault::DisconnectsAfter(2));
    let begun = begin_streams(&fleet, STREAM_COUNT).await;
    tokio::time::sleep(MAX_ENTRY_DELAY).await;
    out_of_step.set(&fleet, true);
    (1..4).for_each(|engine| fleet.set_engine_version(engine, "v2"));
    tokio::time::sleep(silence).await;
    resume_streams_and_wake(&fleet, &begun, out_of_step, true).await
}

// A gateway that does not read the list, or stood still, cannot see that a server has restarted under
// its id.
#[tokio::test]
async fn gateway_with_an_old_list_joins_no_versions_at_servers_that_restarted_under_their_ids() {
    let cases = [
        (OutOfStep::CutOffFromLog, 1),
        (OutOfStep::CutOffFromLog, 3),
        (OutOfStep::CutOffFromLog, 10),
        (OutOfStep::Relayed, 1),
        (OutOfStep::Relayed, 3),
        (OutOfStep::StandsStill, 1),
        (OutOfStep::StandsStill, 3),
        (OutOfStep::StandsStill, 10),
    ];

    let resumed = join_all(cases.map(|(out_of_step, silence_s)| {
        restart_servers(out_of_step, Duration::from_secs(silence_s))
    }))
    .await;

    println!("restarted: {resumed:?}");
    assert!(resumed.iter().all(|resumed| resumed.other_version == 0), "{resumed:?}");
}

// The gateway that began a stream reads late that the server has restarted, and knows better soon
// after; the gateway that resumes the stream does not read it.
#[tokio::test]
async fn gateway_with_an_old_list_does_not_trust_an_origin_that_others_doubt() {
    let mut fleet = start("doubted", 3).await;
    fleet.unlist_engine(2);
    fleet.unlist_engine(3);
    tokio::time::sleep(PROPAGATION_TIME).await;
    fleet.links.iter().for_each(|link| link.set_cut(true));
    fleet.set_engine_version(1, "v2");
    set_faults(&fleet, ServerFault::Overloaded);
    fleet.engines[1].set_fault(ServerFault::DisconnectsAfter(2));
    let begun = begin_streams(&fleet, 2).await;
    fleet.links[0].set_cut(false);
    fleet.links[2].set_cut(false);
    tokio::time::sleep(Duration::from_secs(3)).await;

    let resumed = resume_streams(&fleet, &begun, true).await;

    println!("doubted: {resumed:?}");
    assert_eq!(resumed.other_version, 0, "{resumed:?}");
}

/// Lets most servers restart under their ids with another version while a gateway does not read the
/// list for `silence`; returns the versions of the streams that begin and break off there then.
async fn begin_after_restart(silence: Duration) -> Vec<BTreeSet<String>> {
    let mut fleet = start(&format!("within_{}", silence.as_secs()), 3).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    OutOfStep::CutOffFromLog.set(&fleet, true);
    (1..4).for_each(|engine| fleet.set_engine_version(engine, "v2"));
    set_faults(&fleet, ServerFault::DisconnectsAfter(2));
    tokio::time::sleep(silence).await;
    let ids = (0..STREAM_COUNT).map(|number| format!("within-{number}"));
    join_all(ids.enumerate().map(|(number, id)| {
        let fleet = &fleet;
        async move {
            let response = fleet.send(TAKER, &id, &draft(number, Vec::new())).await.unwrap();
            assert_eq!(response.status, 200, "{response:?}");
            owned_versions(fleet, &id)
        }
    }))
    .await
}

// Neither the server that begins the stream nor the next one may have the version of the old list.
#[tokio::test]
async fn gateway_with_an_old_list_joins_no_versions_within_one_response() {
    let silences = [1, 3].map(Duration::from_secs);

    let versions = join_all(silences.map(begin_after_restart)).await;

    println!("within: {versions:?}");
    assert!(versions.iter().flatten().all(|versions| versions.len() == 1), "{versions:?}");
}
