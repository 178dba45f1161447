use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::server_directory::{ServerDirectory, ServerRequirements};
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::server_state::ReportedLoad;
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;

const CACHE_WINDOW: Duration = Duration::from_secs(10);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
const START: Duration = Duration::from_secs(100);

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

fn directory(count: u8) -> ServerDirectory {
    let mut directory = ServerDirectory::new("plateau".to_owned(), CACHE_WINDOW, DRAIN_TIMEOUT);
    for index in 0..count {
        directory.add_or_update(listing(index), START);
    }
    directory
}

fn session_requirements(session: &str, suffix_tokens: u64) -> ServerRequirements {
    ServerRequirements {
        pool_id: "engines".to_owned(),
        prefix_id: Some(session.to_owned()),
        prefix_tokens: 5_000,
        suffix_tokens,
        excluded: Vec::new(),
        software_version: None,
        excludes_limited: false,
    }
}

fn requirements_without_prefix() -> ServerRequirements {
    ServerRequirements { pool_id: "engines".to_owned(), ..ServerRequirements::default() }
}

#[test]
fn vms_agree_on_the_server_of_a_session_without_messages() {
    for session in ["a1", "b2", "c3", "d4"] {
        let chosen: BTreeSet<_> = (0..6)
            .map(|vm| {
                let mut directory = directory(9);
                directory
                    .choose(&session_requirements(session, 3_000), vm * 7_919, START)
                    .unwrap()
                    .listing
                    .id
            })
            .collect();

        assert_eq!(chosen.len(), 1, "session {session} went to {chosen:?}");
    }
}

#[test]
fn a_session_with_many_requests_spills_over_to_other_servers() {
    let mut directory = directory(9);

    let used: BTreeSet<_> = (0..40)
        .map(|random| {
            directory.choose(&session_requirements("hot", 6_000), random, START).unwrap().listing.id
        })
        .collect();

    assert!(used.len() > 3, "only {used:?}");
}

#[test]
fn short_prompts_avoid_a_server_that_prefills_a_long_one() {
    let mut directory = directory(3);
    let long_server_id =
        directory.choose(&session_requirements("long", 50_000), 1, START).unwrap().listing.id;

    let short_on_same_server = (0..30).filter(|random| {
        let requirements = ServerRequirements {
            prefix_tokens: 200,
            ..session_requirements(&format!("s{random}"), 600)
        };
        let chosen = directory.choose(&requirements, *random, START).unwrap();
        directory.record_response_start(&chosen.listing.id, chosen.prefill_tokens, Duration::ZERO);
        directory.end_attempt(&chosen.listing.id, AttemptVerdict::Succeeded, START);
        chosen.listing.id == long_server_id
    });

    assert_eq!(short_on_same_server.count(), 0);
}

#[test]
fn a_server_that_reports_a_queue_gets_no_requests() {
    let mut directory = directory(2);
    let full = ReportedLoad {
        running_count: 64,
        waiting_count: 30,
        slot_count: 64,
        slowness_percent: None,
    };
    directory.record_load("server-0", full, START);

    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for random in 0..40 {
        let chosen = directory.choose(&requirements_without_prefix(), random, START).unwrap();
        *counts.entry(chosen.listing.id).or_default() += 1;
    }

    assert_eq!(counts.get("server-0"), None);
}

#[test]
fn an_unresponsive_server_is_avoided_while_others_respond() {
    let mut directory = directory(2);
    let first = directory.choose(&requirements_without_prefix(), 0, START).unwrap().listing.id;
    let later = START + Duration::from_secs(2);

    let chosen: BTreeSet<_> = (0..20)
        .map(|random| {
            let chosen =
                directory.choose(&requirements_without_prefix(), random, later).unwrap().listing.id;
            directory.end_attempt(&chosen, AttemptVerdict::Succeeded, later);
            chosen
        })
        .collect();

    assert!(!chosen.contains(&first), "{first} is unresponsive");
}

#[test]
fn a_server_that_fails_half_of_its_requests_gets_few() {
    let mut directory = directory(4);
    let mut to_failing = 0;

    for request in 0..400_u64 {
        let now = START + Duration::from_millis(request * 20);
        let chosen =
            directory.choose(&requirements_without_prefix(), request * 31, now).unwrap().listing.id;
        let is_failing = chosen == "server-0";
        to_failing += u32::from(is_failing);
        let fails = is_failing && request % 2 == 0;
        let verdict = if fails { AttemptVerdict::Failed } else { AttemptVerdict::Succeeded };
        directory.end_attempt(&chosen, verdict, now);
    }

    assert!(
        to_failing < 60,
        "{to_failing} of 400 requests went to the 1 of 4 servers that fails half of them"
    );
}

#[test]
fn draining_and_unlisted_servers_get_no_requests_while_there_are_others() {
    let mut directory = directory(3);
    directory.add_or_update(ServerListing { is_draining: true, ..listing(0) }, START);
    directory.mark_unlisted("server-1", START);

    let chosen = directory.choose(&requirements_without_prefix(), 5, START).unwrap().listing.id;

    assert_eq!(chosen, "server-2");
}

#[test]
fn an_unlisted_server_is_used_for_a_limited_time_if_its_pool_has_no_other() {
    let mut directory = directory(1);
    directory.mark_unlisted("server-0", START);

    let soon = directory.choose(&requirements_without_prefix(), 5, START + Duration::from_secs(1));
    let later = directory.choose(&requirements_without_prefix(), 5, START + Duration::from_secs(2));

    assert!(soon.is_some());
    assert!(later.is_none());
}

#[test]
fn a_restarted_server_keeps_no_state_of_its_previous_incarnation() {
    let mut directory = directory(1);
    for random in 0..4 {
        directory.choose(&requirements_without_prefix(), random, START);
        directory.end_attempt("server-0", AttemptVerdict::Failed, START);
    }

    directory.add_or_update(ServerListing { started_at_unix_ms: 8, ..listing(0) }, START);

    assert_eq!(directory.server("server-0").unwrap().failure_rate(START), 0.0);
}

// The list entry of a leaving server may still say that it is ready.
#[test]
fn leaving_server_is_used_only_without_another_and_not_for_long() {
    let mut directory = directory(2);
    directory.record_leaving("server-0", START);
    directory.add_or_update(ServerListing { slot_count: 32, ..listing(0) }, START);
    let requirements = requirements_without_prefix();

    let chosen = directory.choose(&requirements, 0, START).unwrap().listing.id;
    let only_leaving = ServerRequirements { excluded: vec![chosen.clone()], ..requirements };
    let soon = directory.choose(&only_leaving, 0, START + DRAIN_TIMEOUT / 2);
    let late = directory.choose(&only_leaving, 0, START + DRAIN_TIMEOUT);
    directory.add_or_update(ServerListing { started_at_unix_ms: 8, ..listing(0) }, START);
    let restarted = directory.choose(&only_leaving, 0, START + DRAIN_TIMEOUT);

    assert_eq!(chosen, "server-1");
    assert_eq!(soon.unwrap().listing.id, "server-0");
    assert!(late.is_none());
    assert_eq!(restarted.unwrap().listing.id, "server-0");
}

#[test]
fn server_is_not_chosen_during_its_pause_even_without_another() {
    let mut directory = directory(2);
    let requirements = requirements_without_prefix();
    let pause = Duration::from_secs(3);
    directory.record_pause("server-0", pause, START);
    directory.record_pause("server-1", pause * 2, START);
    directory.record_pause("server-1", pause / 3, START);

    let pause_left = directory.pause_left("engines", START + pause / 3);
    let during = directory.choose(&requirements, 0, START + pause / 2);
    let after = directory.choose(&requirements, 0, START + pause);

    assert_eq!(pause_left, pause * 2 / 3);
    assert!(during.is_none());
    assert_eq!(after.unwrap().listing.id, "server-0");
}

// The only servers of a stream's version are brittle, and other VMs use them.
#[test]
fn brittle_server_that_other_vms_use_is_chosen_if_a_request_has_no_other() {
    let mut directory = directory(3);
    for index in 0..2 {
        let id = listing(index).id;
        directory.add_or_update(
            ServerListing { software_version: "v2".to_owned(), ..listing(index) },
            START,
        );
        directory.record_brittle(&id, Some(5), START);
        directory.record_brittle_use(&id, false, START);
    }
    let of_version = |version: &str| ServerRequirements {
        software_version: Some(version.to_owned()),
        ..requirements_without_prefix()
    };

    let any = directory.choose(&requirements_without_prefix(), 1, START).unwrap();
    let of_second = directory.choose(&of_version("v2"), 1, START).unwrap();

    assert_eq!(any.listing.id, listing(2).id);
    assert_eq!(of_second.listing.software_version, "v2");
}

// A VM that does not use a brittle server gets no response of it that says that it no longer is.
#[test]
fn server_that_was_brittle_is_used_again_when_its_end_is_known_or_after_a_minute() {
    let choose_of = |directory: &mut ServerDirectory, at| {
        directory.choose(&requirements_without_prefix(), 1, at).unwrap().listing.id
    };
    let brittle = || {
        let mut directory = directory(2);
        directory.record_brittle("server-0", Some(5), START);
        directory.record_brittle_use("server-0", false, START);
        (0..40).for_each(|_| assert_eq!(choose_of(&mut directory, START), "server-1"));
        directory
    };
    let (mut ended, mut forgotten) = (brittle(), brittle());

    ended.record_brittle("server-0", None, START);

    assert_eq!(choose_of(&mut ended, START), "server-0");
    assert_eq!(choose_of(&mut forgotten, START + Duration::from_secs(61)), "server-0");
}
