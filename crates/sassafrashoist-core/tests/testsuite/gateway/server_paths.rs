use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::server_paths::{
    Opened, PROBE_INTERVAL, ReachCounts, ServerPaths, Way,
};

const POOL: &str = "llm";

fn at(ms: u64) -> Uptime {
    Duration::from_millis(ms)
}

fn pool() -> Vec<String> {
    ["a", "b", "c", "d"].map(str::to_owned).to_vec()
}

/// Returns the paths of a VM that has lost these, one after the other.
fn paths_without(lost: &[&str]) -> ServerPaths {
    let mut paths = ServerPaths::default();
    for server_id in lost {
        paths.record_failed(server_id);
        paths.record_lost(POOL, server_id, &pool(), at(0));
    }
    paths
}

fn ways(paths: &ServerPaths) -> [Way; 4] {
    ["a", "b", "c", "d"].map(|server_id| paths.way_to(POOL, server_id, at(1)))
}

#[test]
fn connection_that_fails_does_not_make_a_path_lost() {
    let mut paths = ServerPaths::default();
    for server_id in ["a", "b", "c", "d"] {
        paths.record_failed(server_id);
    }

    assert_eq!(ways(&paths), [Way::Direct; 4]);
    assert_eq!(paths.counts(), ReachCounts { reached: 0, failed: 4, lost: 0 });
}

#[test]
fn one_lost_path_leaves_the_others_direct() {
    let paths = paths_without(&["b"]);

    assert_eq!(ways(&paths), [Way::Direct, Way::Relayed, Way::Direct, Way::Direct]);
}

#[test]
fn two_lost_paths_in_a_row_make_all_paths_of_the_pool_lost() {
    let paths = paths_without(&["b", "a"]);

    assert_eq!(ways(&paths), [Way::Relayed; 4]);
    assert_eq!(paths.way_to("desk", "of another pool", at(1)), Way::Direct);
}

#[test]
fn lost_paths_with_a_connection_that_opens_between_them_are_lost_alone() {
    let mut paths = paths_without(&["b"]);
    paths.record_opened(POOL, "c", at(0));
    paths.record_lost(POOL, "a", &pool(), at(0));

    assert_eq!(ways(&paths), [Way::Relayed, Way::Relayed, Way::Direct, Way::Direct]);
}

#[test]
fn probes_are_rare_while_they_fail_and_return_to_all_servers_soon() {
    let mut paths = paths_without(&["a", "b"]);

    let probed: Vec<_> = (0..200).flat_map(|tick| paths.next_probes(at(50 * tick))).collect();
    let regained_at = at(10_000);
    let opened = paths.record_opened(POOL, &probed[0], regained_at);
    let next = paths.next_probes(regained_at);

    assert!(probed.len() as u128 <= 10_000 / PROBE_INTERVAL.as_millis(), "{}", probed.len());
    assert!(pool().iter().all(|server_id| probed.contains(server_id)));
    assert_eq!(opened, Opened::Regained);
    assert_eq!(next.len(), 3);
}

#[test]
fn server_that_left_is_neither_probed_nor_counted() {
    let mut paths = paths_without(&["a"]);

    paths.retain(|server_id| server_id != "a");

    assert!(paths.next_probes(at(5_000)).is_empty());
    assert_eq!(paths.counts(), ReachCounts::default());
}

#[test]
fn no_way_is_left_for_a_short_time_after_no_vm_could_help() {
    let mut paths = paths_without(&["a"]);
    paths.record_no_relay(POOL, at(0));

    assert_eq!(paths.way_to(POOL, "a", at(100)), Way::None);
    assert_eq!(paths.way_to(POOL, "a", at(400)), Way::Relayed);
    assert_eq!(paths.way_to(POOL, "b", at(100)), Way::Direct);
}
