//! The choice among servers that report their slowness.

use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::server_directory::{ServerDirectory, ServerRequirements};
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::server_state::ReportedLoad;
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;

const START: Duration = Duration::from_secs(100);
const POOL: &str = "engines";

fn report(slowness_percent: u32) -> ReportedLoad {
    let slowness_percent = Some(slowness_percent);
    ReportedLoad { running_count: 0, waiting_count: 0, slot_count: 24, slowness_percent }
}

fn directory(count: u8) -> ServerDirectory {
    let mut directory =
        ServerDirectory::new("dc".to_owned(), Duration::from_secs(10), Duration::from_secs(2));
    for index in 0..count {
        let listing = ServerListing {
            id: format!("server-{index}"),
            pool_id: POOL.to_owned(),
            address: SocketAddr::from(([10, 1, 0, index], 8_000)),
            data_centre_id: "dc".to_owned(),
            slot_count: 24,
            is_draining: false,
            started_at_unix_ms: 7,
            software_version: "v1".to_owned(),
        };
        directory.add_or_update(listing, START);
        directory.record_load(&format!("server-{index}"), report(100), START);
    }
    directory
}

fn requirements(prefix_tokens: u64, suffix_tokens: u64) -> ServerRequirements {
    ServerRequirements {
        pool_id: POOL.to_owned(),
        prefix_id: (prefix_tokens > 0).then(|| "session".to_owned()),
        prefix_tokens,
        suffix_tokens,
        ..ServerRequirements::default()
    }
}

// Sessions would process their prefix again at another server with each request.
#[test]
fn requests_of_a_session_stay_at_the_server_that_has_cached_their_prefix() {
    let mut directory = directory(20);
    let first = directory.choose(&requirements(5_000, 300), 1, START).unwrap();
    let first_id = first.listing.id;
    directory.record_response_start(&first_id, first.prefill_tokens, Duration::from_millis(90));
    directory.end_attempt(&first_id, AttemptVerdict::Succeeded, START);

    for request in 2..20 {
        let now = START + Duration::from_millis(200 * request);
        let chosen = directory.choose(&requirements(5_000, 300), request * 7_919, now).unwrap();
        assert_eq!(chosen.listing.id, first_id);
        directory.record_response_start(&first_id, 300, Duration::from_millis(6));
        directory.end_attempt(&first_id, AttemptVerdict::Succeeded, now);
    }
}

// A server in a slow spell got as many requests as before, and would get none long after its spell.
#[test]
fn slow_server_gets_no_prompts_until_it_is_as_usual() {
    let mut directory = directory(3);
    directory.record_load("server-1", report(250), START);
    let gets_requests = |directory: &mut ServerDirectory, now| {
        (0..50).any(|random| {
            let found = directory.find(&requirements(0, 1_000), random * 7_919, now).unwrap();
            found.listing.id == "server-1"
        })
    };

    assert!(!gets_requests(&mut directory, START));
    assert!(gets_requests(&mut directory, START + Duration::from_secs(1)));
}
