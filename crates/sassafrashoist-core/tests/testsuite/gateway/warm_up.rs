use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::server_directory::{ServerDirectory, ServerRequirements};
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::warm_up::{PoolWarmUp, WarmUpBounds};
use sassafrashoist_core::routing::server_limit::LimitStatement;

use super::limited_server_fleet::{Faults, LimitedServerFleet};

const START: Duration = Duration::from_secs(100);
const WARM_UP: Duration = Duration::from_secs(6);
const PER_S: f64 = 4.0;
const BOUNDS: WarmUpBounds = WarmUpBounds { overshoot: 1.5, tolerance: 5.0 };

fn listing(index: u8, started_at_unix_ms: u64) -> ServerListing {
    ServerListing {
        id: format!("server-{index}"),
        pool_id: "engines".to_owned(),
        address: SocketAddr::from(([10, 1, 0, index], 8_000)),
        data_centre_id: "plateau".to_owned(),
        slot_count: 64,
        is_draining: false,
        started_at_unix_ms,
        software_version: "v1".to_owned(),
    }
}

fn requirements() -> ServerRequirements {
    ServerRequirements { pool_id: "engines".to_owned(), ..ServerRequirements::default() }
}

/// Returns a directory with the servers 0 and 1, whose list was read before traffic.
fn directory(per_s: Option<f64>) -> ServerDirectory {
    let mut directory =
        ServerDirectory::new("plateau".to_owned(), Duration::from_secs(10), WARM_UP);
    let warm_up = per_s.map(|per_s| PoolWarmUp { duration: WARM_UP, per_s }.planned(BOUNDS));
    let warm_ups: BTreeMap<_, _> =
        warm_up.map(|rule| ("engines".to_owned(), rule)).into_iter().collect();
    directory.set_warm_ups(warm_ups);
    for index in 0..2 {
        directory.add_or_update(listing(index, 7), START);
        directory.record_warm_up(&format!("server-{index}"), Duration::ZERO, false, START);
    }
    directory
}

fn limit(directory: &ServerDirectory, server_id: &str, now: Duration) -> Option<f64> {
    directory.server(server_id).unwrap().limit_per_s(now)
}

/// Returns the servers that are chosen without a permit.
fn chosen_without_permit(directory: &mut ServerDirectory, now: Duration) -> Vec<String> {
    let requirements = ServerRequirements { excludes_limited: true, ..requirements() };
    let mut chosen: Vec<_> = (0..100_u64)
        .filter_map(|random| directory.find(&requirements, random * 0x9e37_79b9_7f4a, now))
        .map(|choice| choice.listing.id)
        .collect();
    chosen.sort();
    chosen.dedup();
    chosen
}

// All VMs sent their next requests to a server that had just been added, as it was idle.
#[test]
fn server_that_appears_during_traffic_needs_permits_until_it_is_warm() {
    let mut directory = directory(Some(PER_S));
    let now = START + Duration::from_secs(50);

    directory.add_or_update(listing(2, 7), now);
    let is_cold = directory.record_warm_up("server-2", Duration::ZERO, true, now);
    let again = directory.record_warm_up("server-2", Duration::ZERO, true, now);

    assert!(is_cold && !again);
    assert_eq!(limit(&directory, "server-2", now + WARM_UP / 2), Some(PER_S));
    assert_eq!(chosen_without_permit(&mut directory, now), ["server-0", "server-1"]);
    assert_eq!(limit(&directory, "server-2", now + WARM_UP), None);
    assert!(!chosen_without_permit(&mut directory, now + WARM_UP).is_empty());
    assert_eq!(limit(&directory, "server-0", now), None);
}

// A server that started again has the id and maybe the address of before.
#[test]
fn server_that_started_again_is_cold() {
    let mut directory = directory(Some(PER_S));
    let now = START + Duration::from_secs(50);

    directory.add_or_update(listing(0, 8), now);
    directory.record_warm_up("server-0", Duration::ZERO, true, now);

    assert_eq!(limit(&directory, "server-0", now), Some(PER_S));
}

// A server may turn cold at any moment without a start, and another VM may have started meanwhile.
#[test]
fn entry_states_how_long_a_server_is_cold() {
    let mut directory = directory(Some(PER_S));
    let left = Duration::from_secs(2);
    let now = START + Duration::from_secs(50);

    directory.add_or_update(listing(1, 7), now);
    let is_cold = directory.record_warm_up("server-1", left, true, now);
    let during = limit(&directory, "server-1", now + Duration::from_millis(1_999));
    let after = limit(&directory, "server-1", now + left);

    assert!(is_cold);
    assert_eq!((during, after), (Some(PER_S), None));
}

#[test]
fn lower_one_of_a_named_limit_and_that_of_a_cold_server_counts() {
    let mut directory = directory(Some(PER_S));
    let left = Duration::from_secs(2);
    directory.record_warm_up("server-0", left, false, START);
    directory.record_warm_up("server-1", left, false, START);

    directory.record_limit("server-0", LimitStatement::Named(9.0), START, START);
    directory.record_limit("server-1", LimitStatement::Named(1.0), START, START);

    assert_eq!(limit(&directory, "server-0", START), Some(PER_S));
    assert_eq!(limit(&directory, "server-1", START), Some(1.0));
    assert_eq!(limit(&directory, "server-0", START + left), Some(9.0));
}

#[test]
fn pool_without_a_rate_has_no_cold_servers() {
    let mut directory = directory(None);

    directory.add_or_update(listing(2, 7), START + WARM_UP);
    let is_cold = directory.record_warm_up("server-2", WARM_UP, true, START + WARM_UP);

    assert!(!is_cold);
    assert_eq!(limit(&directory, "server-2", START + WARM_UP), None);
}

// The pool may get its rate while a server is cold.
#[test]
fn rate_of_a_newer_configuration_applies_to_known_servers() {
    let mut directory = directory(None);
    directory.record_warm_up("server-0", WARM_UP, false, START);

    let rule = PoolWarmUp { duration: WARM_UP, per_s: PER_S };
    directory.set_warm_ups([("engines".to_owned(), rule)].into());
    let with_rate = limit(&directory, "server-0", START);
    directory.set_warm_ups(BTreeMap::new());

    assert_eq!((with_rate, limit(&directory, "server-0", START)), (Some(PER_S), None));
}

// An issuer and its backup that do not know of each other issue 1.54 times a limit and 3 permits, which
// is more than the bound from 50 a second on.
#[test]
fn requests_to_a_cold_server_stay_within_the_bound_over_all_vms() {
    let span = Duration::from_secs(5)..Duration::from_secs(10);
    let separated = vec![(0, 1, span.clone()), (0, 2, span.clone())];
    let cases = [
        ("no failure", Faults::default()),
        ("issuer separated", Faults { separated, ..Faults::default() }),
        ("issuer cut off", Faults { cut_off: vec![(0, span)], ..Faults::default() }),
    ];
    for (name, faults) in cases {
        for vm_count in [7, 85, 336] {
            for per_s in [4.0, 120.0] {
                let rule = PoolWarmUp { duration: WARM_UP, per_s }.planned(BOUNDS);
                let mut fleet = LimitedServerFleet::new(vm_count, rule.per_s, faults.clone());

                let outcome = fleet.run(190.0, Duration::from_secs(14));

                let bound = BOUNDS.overshoot * per_s + BOUNDS.tolerance;
                println!(
                    "{name}, {vm_count} VMs, {per_s}/s: {} in a second, bound {bound}, used {:.2}",
                    outcome.most_in_second, outcome.used_share
                );
                assert!(outcome.most_in_second as f64 <= bound, "{name}, {vm_count}, {per_s}");
            }
        }
    }
}
