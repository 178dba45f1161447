use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::server_directory::{ServerDirectory, ServerNeed};
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
    }
}

fn directory(count: u8) -> ServerDirectory {
    let mut directory = ServerDirectory::new("plateau".to_owned(), CACHE_WINDOW, DRAIN_TIMEOUT);
    for index in 0..count {
        directory.list(listing(index), START);
    }
    directory
}

fn need(session: &str, own_tokens: u64) -> ServerNeed {
    ServerNeed {
        pool_id: "engines".to_owned(),
        shared_part: Some(session.to_owned()),
        shared_tokens: 5_000,
        own_tokens,
        excluded: Vec::new(),
    }
}

fn plain_need() -> ServerNeed {
    ServerNeed { pool_id: "engines".to_owned(), ..ServerNeed::default() }
}

#[test]
fn vms_agree_on_the_server_of_a_session_without_messages() {
    for session in ["a1", "b2", "c3", "d4"] {
        let chosen: BTreeSet<_> = (0..6)
            .map(|vm| {
                let mut directory = directory(9);
                directory.choose(&need(session, 3_000), vm * 7_919, START).unwrap().listing.id
            })
            .collect();

        assert_eq!(chosen.len(), 1, "session {session} went to {chosen:?}");
    }
}

#[test]
fn a_session_that_is_asked_for_by_many_spills_over() {
    let mut directory = directory(9);

    let used: BTreeSet<_> = (0..40)
        .map(|draw| directory.choose(&need("hot", 6_000), draw, START).unwrap().listing.id)
        .collect();

    assert!(used.len() > 3, "only {used:?}");
}

#[test]
fn short_prompts_keep_away_from_a_server_that_reads_a_long_one() {
    let mut directory = directory(3);
    let long = directory.choose(&need("long", 50_000), 1, START).unwrap().listing.id;

    let beside = (0..30).filter(|draw| {
        let need = ServerNeed { shared_tokens: 200, ..need(&format!("s{draw}"), 600) };
        let chosen = directory.choose(&need, *draw, START).unwrap();
        directory.record_begun(&chosen.listing.id, chosen.prompt_tokens, Duration::ZERO);
        directory.end(&chosen.listing.id, AttemptVerdict::Succeeded, START);
        chosen.listing.id == long
    });

    assert_eq!(beside.count(), 0);
}

#[test]
fn a_server_that_reports_a_queue_gets_less() {
    let mut directory = directory(2);
    let full = ReportedLoad { running_count: 64, waiting_count: 30, slot_count: 64 };
    directory.record_load("server-0", full, START);

    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for draw in 0..40 {
        let chosen = directory.choose(&plain_need(), draw, START).unwrap();
        *counts.entry(chosen.listing.id).or_default() += 1;
    }

    assert_eq!(counts.get("server-0"), None);
}

#[test]
fn a_silent_server_is_left_while_others_answer() {
    let mut directory = directory(2);
    let first = directory.choose(&plain_need(), 0, START).unwrap().listing.id;
    let later = START + Duration::from_secs(2);

    let chosen: BTreeSet<_> = (0..20)
        .map(|draw| {
            let chosen = directory.choose(&plain_need(), draw, later).unwrap().listing.id;
            directory.end(&chosen, AttemptVerdict::Succeeded, later);
            chosen
        })
        .collect();

    assert!(!chosen.contains(&first), "{first} is silent");
}

#[test]
fn a_server_that_fails_part_of_its_requests_gets_few() {
    let mut directory = directory(4);
    let mut to_failing = 0;

    for request in 0..400_u64 {
        let now = START + Duration::from_millis(request * 20);
        let chosen = directory.choose(&plain_need(), request * 31, now).unwrap().listing.id;
        let is_failing = chosen == "server-0";
        to_failing += u32::from(is_failing);
        let fails = is_failing && request % 2 == 0;
        let verdict = if fails { AttemptVerdict::Failed } else { AttemptVerdict::Succeeded };
        directory.end(&chosen, verdict, now);
    }

    assert!(to_failing < 60, "{to_failing} of 400 to one of 4 that fails half");
}

#[test]
fn draining_and_unlisted_servers_get_nothing_while_there_are_others() {
    let mut directory = directory(3);
    directory.list(ServerListing { is_draining: true, ..listing(0) }, START);
    directory.unlist("server-1", START);

    let chosen = directory.choose(&plain_need(), 5, START).unwrap().listing.id;

    assert_eq!(chosen, "server-2");
}

#[test]
fn an_unlisted_server_serves_its_pool_for_a_moment_if_it_is_the_last() {
    let mut directory = directory(1);
    directory.unlist("server-0", START);

    let soon = directory.choose(&plain_need(), 5, START + Duration::from_secs(1));
    let later = directory.choose(&plain_need(), 5, START + Duration::from_secs(2));

    assert!(soon.is_some());
    assert!(later.is_none());
}

#[test]
fn a_server_that_started_anew_keeps_nothing_of_its_past() {
    let mut directory = directory(1);
    for draw in 0..4 {
        directory.choose(&plain_need(), draw, START);
        directory.end("server-0", AttemptVerdict::Failed, START);
    }

    directory.list(ServerListing { started_at_unix_ms: 8, ..listing(0) }, START);

    assert_eq!(directory.server("server-0").unwrap().failed_part(START), 0.0);
}
