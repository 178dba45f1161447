//! Tests of gateways that lose their paths to backend servers, which other gateways still reach.

use std::path::{Path, PathBuf};
use std::time::Duration;

use http::Method;
use sassafrashoist::gateway::relay_messages::{
    RELAY_PATH, RelayOutcome, RelayPurpose, RelayRequest,
};
use sassafrashoist::gateway::send_message::send_message;
use sassafrashoist_platform_stand_in::backend_server::ServerFault;
use sassafrashoist_platform_stand_in::caller::{BodyEnd, CallerRequest, CallerResponse, send};
use sassafrashoist_platform_stand_in::http_listener::PathFault;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    BID_PATH, CHAT_PATH, DRAFT_PATH, EVENT_INTERVAL, FleetPlan, STATUS_PATH, StandInFleet,
};

/// The time after which a gateway that lost its paths must serve its callers like the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const PROMPT_TOKENS: u64 = 900;
const OUTPUT_TOKENS: u64 = 100;
/// The faults of a path that is lost.
const LOST: [PathFault; 3] = [PathFault::Hangs, PathFault::Resets, PathFault::RefusesNew];

async fn start(name: &str) -> StandInFleet {
    start_with(name, EVENT_INTERVAL).await
}

async fn start_with(name: &str, event_interval: Duration) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("lost_paths").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: 3,
        engine_count: 3,
        plain_count: 2,
        paid_tokens: 10_000_000,
        has_own_paths: true,
        event_interval,
    };
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

fn requests() -> [CallerRequest; 4] {
    [
        CallerRequest::to_model(DRAFT_PATH, PROMPT_TOKENS, OUTPUT_TOKENS),
        CallerRequest::to_model(CHAT_PATH, PROMPT_TOKENS, OUTPUT_TOKENS),
        CallerRequest::plain(Method::POST, BID_PATH),
        CallerRequest::plain(Method::GET, STATUS_PATH),
    ]
}

fn is_served(response: &CallerResponse) -> bool {
    response.status == 200 && response.is_complete()
}

/// Sends `count` requests of each kind to a gateway, and returns how many were served.
async fn count_served(fleet: &StandInFleet, gateway: usize, name: &str, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        for (kind, request) in requests().iter().enumerate() {
            let id = format!("{name}-{gateway}-{kind}-{number}");
            let response = fleet.send(gateway, &id, request).await;
            served += usize::from(response.is_ok_and(|response| is_served(&response)));
        }
    }
    served
}

/// Sends 30 requests to a gateway, one after the other, and returns how many were served.
async fn count_whole(
    fleet: &StandInFleet,
    gateway: usize,
    name: &str,
    request: &CallerRequest,
) -> usize {
    let mut served = 0;
    for number in 0..30 {
        let response = fleet.send(gateway, &format!("{name}-{gateway}-{number}"), request).await;
        served += usize::from(response.is_ok_and(|response| is_served(&response)));
    }
    served
}

/// Sends requests to a gateway for [`CONTACT_TIME`], whatever becomes of them.
async fn send_for_contact_time(fleet: &StandInFleet, gateway: usize, name: &str) {
    let sending = async {
        for number in 0.. {
            count_served(fleet, gateway, &format!("{name}-early-{number}"), 1).await;
        }
    };
    assert!(tokio::time::timeout(CONTACT_TIME, sending).await.is_err());
}

// VMs without a path to any server served almost nothing, while the others reached all servers.
#[tokio::test]
async fn callers_of_a_gateway_without_paths_are_served_as_often_as_the_others() {
    let fleet = start("served").await;
    for fault in LOST {
        let name = format!("{fault:?}");
        fleet.set_path_fault(0, fault);
        send_for_contact_time(&fleet, 0, &name).await;

        let served = count_served(&fleet, 0, &name, 10).await;
        let served_by_other = count_served(&fleet, 1, &name, 10).await;

        assert!(3 * served >= 2 * served_by_other, "{name}: {served}, other {served_by_other}");
        assert!(served_by_other >= 36, "{name}: {served_by_other}");
        fleet.set_path_fault(0, PathFault::None);
    }
}

// What servers did wrong through other VMs said nothing about them, so that the fastest to fail got
// most requests.
#[tokio::test]
async fn gateway_without_paths_avoids_servers_that_break_off_their_responses() {
    let fleet = start("broken_off").await;
    let faults = [
        ServerFault::CloseDelimitedClosesBeforeBody,
        ServerFault::CloseDelimitedClosesAfter(0),
        ServerFault::DisconnectsAfter(0),
        ServerFault::LengthDisconnectsAfter(0),
    ];
    let chat = &requests()[1];
    fleet.set_path_fault(0, PathFault::RefusesNew);
    for fault in faults {
        let name = format!("{fault:?}");
        send_for_contact_time(&fleet, 0, &name).await;
        fleet.engines[..2].iter().for_each(|engine| engine.set_fault(fault));

        let served = count_whole(&fleet, 0, &name, chat).await;
        let served_by_other = count_whole(&fleet, 1, &name, chat).await;

        assert!(3 * served >= 2 * served_by_other, "{name}: {served}, other {served_by_other}");
        assert!(served_by_other >= 15, "{name}: {served_by_other}");
        fleet.engines[..2].iter().for_each(|engine| engine.set_fault(ServerFault::None));
    }
}

// A path that refuses connections was taken for a server whose process ended.
#[tokio::test]
async fn gateway_without_paths_suspects_no_request_of_crashing_servers() {
    let fleet = start("suspects").await;
    let bid = CallerRequest::plain(Method::POST, BID_PATH);

    for number in 0..4 {
        let ids = (0..8).map(|request| format!("cut-{number}-{request}"));
        let draft = &requests()[0];
        let sent = futures::future::join_all(ids.map(|id| {
            let fleet = &fleet;
            async move { fleet.send(0, &id, draft).await }
        }));
        let cut = async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            fleet.set_path_fault(0, PathFault::Resets);
            tokio::time::sleep(Duration::from_millis(700)).await;
            fleet.set_path_fault(0, PathFault::None);
        };
        tokio::join!(sent, cut);
    }

    for gateway in 0..3 {
        let log = fleet.gateways[gateway].read_log().unwrap();
        assert!(!log.contains("request suspected of crashing a server"), "gateway {gateway}");
    }
    assert_eq!(fleet.send(1, "after", &bid).await.unwrap().status, 200);
}

// Breakers that opened while the paths were lost kept requests from sound servers afterwards.
#[tokio::test]
async fn gateway_serves_directly_again_soon_after_its_paths_are_back() {
    let fleet = start("return").await;
    for fault in LOST {
        let name = format!("{fault:?}");
        fleet.set_path_fault(0, fault);
        send_for_contact_time(&fleet, 0, &name).await;
        fleet.set_path_fault(0, PathFault::None);
        tokio::time::sleep(Duration::from_secs(2)).await;

        // The others can no longer help.
        (1..3).for_each(|gateway| fleet.set_path_fault(gateway, PathFault::Resets));
        let served = count_served(&fleet, 0, &format!("{name}-back"), 5).await;
        (1..3).for_each(|gateway| fleet.set_path_fault(gateway, PathFault::None));

        assert_eq!(served, 20, "{name}");
    }
}

// What a server sent through other VMs hid that it sent nothing on the connections of a lost path.
#[tokio::test]
async fn streams_in_progress_go_on_while_the_paths_of_their_gateway_hang() {
    let fleet = start_with("streams", Duration::from_millis(150)).await;
    let draft = &requests()[0];
    let ids = (0..6).map(|number| format!("stream-{number}"));
    let streams = futures::future::join_all(ids.map(|id| {
        let fleet = &fleet;
        async move { fleet.send(0, &id, draft).await }
    }));
    let others = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.set_path_fault(0, PathFault::Hangs);
        for number in 0.. {
            count_served(&fleet, 0, &format!("other-{number}"), 1).await;
        }
    };

    let streams = tokio::select! {
        streams = streams => streams,
        () = others => unreachable!("requests are sent without end"),
    };

    for stream in streams {
        let stream = stream.unwrap();
        assert!(is_served(&stream), "{stream:?}");
    }
}

// A response without framing that is cut off between two VMs must not look complete.
#[tokio::test]
async fn responses_without_framing_through_a_helper_end_properly_only_if_they_are_whole() {
    let mut fleet = start("framing").await;
    let chat = requests()[1].clone();
    fleet.set_path_fault(0, PathFault::RefusesNew);
    send_for_contact_time(&fleet, 0, "framing").await;

    fleet.engines.iter().for_each(|engine| engine.set_fault(ServerFault::CloseDelimited));
    let whole = fleet.send(0, "whole", &chat).await.unwrap();
    let stalls = ServerFault::CloseDelimitedStallsAfter(2);
    fleet.engines.iter().for_each(|engine| engine.set_fault(stalls));
    let address = fleet.gateways[0].caller_address;
    let cut = tokio::spawn(async move { send(address, "cut", &chat).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.gateways[1].kill().unwrap();
    fleet.gateways[2].kill().unwrap();
    let cut = cut.await.unwrap().unwrap();

    assert_eq!((whole.status, whole.end), (200, BodyEnd::Closed), "{whole:?}");
    assert_eq!((cut.status, cut.end), (200, BodyEnd::Aborted), "{cut:?}");
}

// Only VMs of the fleet may use the connections of others to servers.
#[tokio::test]
async fn connection_for_a_sender_that_is_not_in_the_ledger_is_refused() {
    let fleet = start("sender").await;
    let served = count_served(&fleet, 0, "sender", 2).await;
    let request = RelayRequest {
        holder_id: "vm-0/0123456789abcdef".to_owned(),
        server_id: fleet.engines[0].id.clone(),
        started_at_unix_ms: 1,
        purpose: RelayPurpose::Probe,
    };

    let response = send_message(fleet.gateways[1].peer_address, RELAY_PATH, &request).await;

    let outcome: RelayOutcome = postcard::from_bytes(&response.unwrap()).unwrap();
    assert_eq!((served, outcome), (8, RelayOutcome::UnknownSender));
}

// A sound server may send nothing for a second and go on.
#[tokio::test]
async fn requests_at_a_server_that_is_silent_for_a_second_run_once_and_are_served() {
    let fleet = start_with("silence", Duration::from_millis(150)).await;
    let [draft, chat, ..] = &requests();
    let sent = (0..18).map(|number| {
        let (fleet, request) = (&fleet, if number % 2 == 0 { draft } else { chat });
        async move { fleet.send(number % 3, &format!("silent-{number}"), request).await.unwrap() }
    });
    let silence = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        (0..3).for_each(|path| fleet.engines[0].set_path_fault(path, PathFault::Hangs));
        tokio::time::sleep(Duration::from_secs(1)).await;
        (0..3).for_each(|path| fleet.engines[0].set_path_fault(path, PathFault::None));
    };

    let (responses, ()) = tokio::join!(futures::future::join_all(sent), silence);

    assert!(responses.iter().all(is_served), "{responses:?}");
    assert!(!fleet.engines[0].executed_requests().is_empty());
    let runs: usize = fleet.engines.iter().map(|engine| engine.executed_requests().len()).sum();
    assert_eq!(runs, responses.len());
}
