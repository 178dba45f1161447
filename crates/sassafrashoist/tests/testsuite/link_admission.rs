//! Tests of a gateway whose callers ask for more than its link carries.

use std::path::{Path, PathBuf};
use std::time::Duration;

use futures::future::join_all;
use http::Method;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    EVENT_INTERVAL, FleetPlan, STATUS_PATH, StandInFleet,
};

const CALLER_COUNT: usize = 60;
/// The time in which requests leave the link again, with a margin for a slow machine.
const DRAIN_TIME: Duration = Duration::from_secs(2);

async fn start(name: &str, setting: &str) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("link_admission").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: 2,
        engine_count: 0,
        plain_count: 3,
        paid_tokens: 1_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    let mut fleet = StandInFleet::start(program, &folder, plan).await.unwrap();
    for gateway in &mut fleet.gateways {
        gateway.add_setting(setting).unwrap();
        gateway.kill_and_restart().await.unwrap();
    }
    fleet
}

/// Sends requests to one gateway at the same time; returns the statuses, `None` where the connection was
/// refused.
async fn send_at_once(fleet: &StandInFleet) -> Vec<Option<u16>> {
    let request = CallerRequest::plain(Method::GET, STATUS_PATH);
    let responses = join_all((0..CALLER_COUNT).map(|index| {
        let request = &request;
        async move { fleet.send(0, &format!("burst-{index}"), request).await.ok() }
    }));
    responses.await.into_iter().map(|response| response.map(|response| response.status)).collect()
}

// All requests of a VM with a small link waited for each other until none was served in time.
#[tokio::test]
async fn gateway_refuses_what_its_link_does_not_carry_and_serves_on() {
    let fleet = start("small_link", "limits.bandwidthMbps=0.5").await;

    let statuses = send_at_once(&fleet).await;
    tokio::time::sleep(DRAIN_TIME).await;
    let request = CallerRequest::plain(Method::GET, STATUS_PATH);
    let later = fleet.send(0, "later", &request).await.unwrap();

    let served_count = statuses.iter().filter(|status| **status == Some(200)).count();
    let is_truthful = |status: &Option<u16>| matches!(status, Some(200 | 503) | None);
    assert!(statuses.iter().all(is_truthful), "{statuses:?}");
    assert!((1..CALLER_COUNT / 2).contains(&served_count), "{served_count} served");
    for (index, _) in statuses.iter().enumerate().filter(|(_, status)| **status != Some(200)) {
        let runs = fleet.runs_of(&format!("burst-{index}"));
        assert!(runs.is_empty(), "request {index} was refused and has run: {runs:?}");
    }
    assert_eq!(later.status, 200);
}

#[tokio::test]
async fn gateway_with_a_wide_link_serves_the_same_burst() {
    let fleet = start("wide_link", "limits.bandwidthMbps=1000").await;

    let statuses = send_at_once(&fleet).await;

    let is_refused_for_link = |gateway: usize| {
        fleet.gateways[gateway].read_log().unwrap().contains("link of the VM is full")
    };
    assert!(statuses.iter().all(Option::is_some), "{statuses:?}");
    assert!(!is_refused_for_link(0) && !is_refused_for_link(1));
}
