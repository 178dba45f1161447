//! Tests of the decision whether a server that sends nothing has failed.

use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::server_directory::{ServerDirectory, ServerRequirements};
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::server_silence::ServerSilence;
use sassafrashoist_core::gateway::server_state::ReportedLoad;

const START: Uptime = Duration::from_secs(100);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time since the start, in milliseconds.
fn at(ms: u64) -> Uptime {
    START + Duration::from_millis(ms)
}

fn listing(index: u8) -> ServerListing {
    ServerListing {
        id: format!("server-{index}"),
        pool_id: "engines".to_owned(),
        address: SocketAddr::from(([10, 1, 0, index], 8_000)),
        data_centre_id: "plateau".to_owned(),
        slot_count: 64,
        is_draining: false,
        started_at_unix_ms: 7,
        software_version: "v1".to_owned(),
    }
}

/// A pool of which the servers with an index below `busy_count` have a request in progress.
fn pool(count: u8, busy_count: u8) -> ServerDirectory {
    let mut directory =
        ServerDirectory::new("plateau".to_owned(), Duration::from_secs(10), Duration::from_secs(2));
    for index in 0..count {
        directory.add_or_update(listing(index), START);
    }
    for index in 0..busy_count {
        let others = (0..count).filter(|other| *other != index);
        let only = ServerRequirements {
            excluded: others.map(|other| format!("server-{other}")).collect(),
            ..requirements()
        };
        directory.choose(&only, 0, START).unwrap();
        directory.record_bytes(&format!("server-{index}"), START);
    }
    directory
}

fn requirements() -> ServerRequirements {
    ServerRequirements { pool_id: "engines".to_owned(), ..ServerRequirements::default() }
}

/// Requirements that exclude server 0.
fn other_than_first() -> ServerRequirements {
    ServerRequirements { excluded: vec!["server-0".to_owned()], ..requirements() }
}

/// Returns after how many milliseconds a request leaves server 0, which is silent from the start;
/// `speaks` says which servers send something in a step that begins after so many milliseconds.
fn left_after_ms(
    directory: &mut ServerDirectory,
    timeout: Duration,
    until_ms: u64,
    speaks: impl Fn(u8, u64) -> bool,
) -> Option<u64> {
    let mut silence = ServerSilence::new(START);
    (0..until_ms).step_by(50).find(|ms| {
        for index in (0..8).filter(|index| speaks(*index, *ms)) {
            directory.record_bytes(&format!("server-{index}"), at(*ms));
        }
        if !ms.is_multiple_of(POLL_INTERVAL.as_millis() as u64) {
            return false;
        }
        let now = at(*ms);
        let others = directory.other_servers("server-0", &other_than_first(), now);
        let active_at = directory.server("server-0").map(|server| server.last_activity_at());
        silence.update(active_at, &others, now);
        silence.is_failure(timeout, &others)
    })
}

#[test]
fn request_leaves_the_only_silent_server_at_its_timeout() {
    let mut directory = pool(4, 4);

    let left = left_after_ms(&mut directory, TIMEOUT, 4_000, |index, _| index > 0);

    assert_eq!(left, Some(1_500));
}

#[test]
fn request_leaves_the_only_server_in_use_at_its_timeout() {
    let mut directory = pool(4, 1);

    let left = left_after_ms(&mut directory, TIMEOUT, 4_000, |_, _| false);

    assert_eq!(left, Some(1_500));
}

#[test]
fn request_stays_while_all_servers_are_silent() {
    for timeout in [Duration::from_millis(500), TIMEOUT] {
        let mut directory = pool(4, 4);

        let left = left_after_ms(&mut directory, timeout, 10_000, |_, _| false);

        assert_eq!(left, None, "{timeout:?}");
    }
}

#[test]
fn request_tries_an_idle_server_in_the_end_if_all_servers_in_use_are_silent() {
    for timeout in [Duration::from_millis(500), TIMEOUT] {
        let mut directory = pool(4, 3);

        let left = left_after_ms(&mut directory, timeout, 10_000, |_, _| false);

        assert_eq!(left, Some(1_800), "{timeout:?}");
    }
}

#[test]
fn request_stays_if_its_server_goes_on_soon_after_the_others() {
    let mut directory = pool(4, 4);

    let left = left_after_ms(&mut directory, TIMEOUT, 10_000, |index, ms| {
        ms >= if index == 0 { 2_600 } else { 1_700 }
    });

    assert_eq!(left, None);
}

#[test]
fn request_leaves_its_server_if_only_the_others_go_on() {
    let mut directory = pool(4, 4);

    let left = left_after_ms(&mut directory, TIMEOUT, 10_000, |index, ms| index > 0 && ms >= 1_700);

    // The interval in which the others go on counts as a whole.
    assert_eq!(left, Some(3_100));
}

// The others send something too seldom to be heard at each check: a server that is dark for good kept
// its streams for 6.8 s beside events every 0.5 s, and for 13 s beside events every 1.05 s.
#[test]
fn request_leaves_a_dark_server_although_the_others_speak_seldom() {
    for (gap_ms, shared_pause_ms) in [(350, 0), (500, 0), (700, 0), (1_050, 1_050), (3_050, 3_050)]
    {
        let mut directory = pool(2, 2);

        let left = left_after_ms(&mut directory, TIMEOUT, 20_000, |index, ms| {
            index > 0 && ms.is_multiple_of(gap_ms)
        });

        let latest_ms = TIMEOUT.as_millis() as u64 + gap_ms + shared_pause_ms;
        assert!(left.is_some_and(|ms| ms <= latest_ms), "events every {gap_ms} ms: {left:?}");
    }
}

#[test]
fn request_stays_if_its_server_speaks_to_other_requests() {
    let mut directory = pool(4, 4);

    let left = left_after_ms(&mut directory, TIMEOUT, 10_000, |index, ms| {
        index > 0 || ms.is_multiple_of(1_000)
    });

    assert_eq!(left, None);
}

#[test]
fn request_stays_if_only_servers_of_another_version_speak() {
    let mut directory = pool(1, 1);
    for index in 1..4 {
        let software_version = "v2".to_owned();
        directory.add_or_update(ServerListing { software_version, ..listing(index) }, START);
    }
    let of_version =
        ServerRequirements { software_version: Some("v1".to_owned()), ..other_than_first() };
    directory.record_bytes("server-1", at(1_900));

    let others = directory.other_servers("server-0", &of_version, at(2_000));

    assert_eq!((others.speaking_count, others.has_substitute), (1, false));
}

#[test]
fn time_during_which_the_vm_did_not_run_is_not_silence() {
    let mut directory = pool(4, 1);
    let mut silence = ServerSilence::new(START);

    for ms in [100, 200, 3_000, 3_100] {
        let others = directory.other_servers("server-0", &other_than_first(), at(ms));
        silence.update(Some(START), &others, at(ms));
    }

    assert_eq!(silence.while_others_spoke(), Duration::from_millis(500));
    assert_eq!(silence.total(), Duration::from_millis(500));
}

#[test]
fn given_up_request_goes_to_a_server_that_is_not_silent() {
    let mut directory = pool(3, 3);
    let full = ReportedLoad {
        running_count: 64,
        waiting_count: 300,
        slot_count: 64,
        slowness_percent: None,
    };
    directory.record_load("server-2", full, at(1_000));
    directory.record_bytes("server-2", at(1_000));

    let chosen = directory.find(&other_than_first(), 0, at(1_000)).unwrap();

    assert_eq!(chosen.listing.id, "server-2");
}
