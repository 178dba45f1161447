use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::fleet_config::FleetConfig;
use sassafrashoist_core::gateway::origin_history::OriginHistory;
use sassafrashoist_core::gateway::route::{Destination, Repeatability, Route};
use sassafrashoist_core::gateway::route_table::RouteTable;
use sassafrashoist_core::gateway::server_listing::ServerListing;

use super::simulated_fleet::config_with;

const HOST: &str = "desk.example";
const PATH: &str = "/d/1";

fn listing(id: &str, pool_id: &str, version: &str) -> ServerListing {
    ServerListing {
        id: id.to_owned(),
        pool_id: pool_id.to_owned(),
        address: SocketAddr::from(([10, 1, 0, 1], 8_000)),
        data_centre_id: "plateau".to_owned(),
        slot_count: 64,
        is_draining: false,
        started_at_unix_ms: 1,
        software_version: version.to_owned(),
    }
}

fn config(version: u64, path_prefix: &str, pools: &[&str]) -> Arc<RouteTable> {
    let destination = |pool: &&str| Destination { pool_id: (*pool).to_owned(), weight: 1 };
    let route = Route {
        id: "draft".to_owned(),
        host: HOST.to_owned(),
        path_prefix: path_prefix.to_owned(),
        repeatability: Repeatability::ResumableStream,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(300),
        priority: 1,
        destinations: pools.iter().map(destination).collect(),
        max_attempts: 2,
        is_public: false,
    };
    Arc::new(RouteTable::new(FleetConfig { version, routes: vec![route], ..config_with(0) }))
}

/// Returns the history of one configuration, whose route leads to "engines", and of these servers.
fn history(listings: &[ServerListing]) -> OriginHistory {
    let mut history = OriginHistory::default();
    history.add_config(&config(1, "/d/", &["engines"]));
    listings.iter().for_each(|listing| history.add_listing(listing));
    history.configs.record_read(1, 1_000, None);
    history.servers.record_read(listings.len() as u64, 1_000, None);
    history
}

fn sole_version(history: &OriginHistory) -> Option<String> {
    history.sole_origin(HOST, PATH).map(|(_, version)| version)
}

#[test]
fn the_only_pool_and_version_that_the_log_has_named_began_every_stream() {
    let with_others = history(&[listing("s1", "engines", "v1"), listing("s2", "desk", "v2")]);

    let origin = with_others.sole_origin(HOST, PATH);
    let of_no_route = with_others.sole_origin(HOST, "/e/1");

    assert_eq!(origin, Some(("engines".to_owned(), "v1".to_owned())));
    assert_eq!(of_no_route, None);
}

// The newest entry of a server that has left or has started again does not show its version.
#[test]
fn a_version_that_has_left_may_have_begun_a_stream() {
    let left = history(&[listing("s1", "engines", "v1"), listing("s2", "engines", "v2")]);
    let restarted = history(&[listing("s1", "engines", "v1"), listing("s1", "engines", "v2")]);

    assert_eq!((sole_version(&left), sole_version(&restarted)), (None, None));
}

#[test]
fn a_path_that_has_led_to_several_pools_tells_no_version() {
    let servers = [listing("s1", "engines", "v1"), listing("s2", "others", "v1")];
    let mut moved = history(&servers);
    moved.add_config(&config(2, "/d/", &["others"]));
    let mut moved_back = history(&servers);
    moved_back.add_config(&config(2, "/d/", &["others"]));
    moved_back.add_config(&config(3, "/d/", &["engines"]));
    let mut split = history(&servers);
    split.add_config(&config(2, "/d/", &["engines", "others"]));
    let mut narrowed = OriginHistory::default();
    narrowed.add_config(&config(1, "/", &["others"]));
    narrowed.add_config(&config(2, "/d/", &["engines"]));
    servers.iter().for_each(|server| narrowed.add_listing(server));

    let versions = [moved, moved_back, split, narrowed].map(|history| sole_version(&history));

    assert_eq!(versions, [None, None, None, None]);
}

#[test]
fn a_configuration_that_changes_other_things_or_is_written_twice_tells_the_same_version() {
    let mut history = history(&[listing("s1", "engines", "v1")]);
    history.add_config(&config(2, "/d/", &["engines"]));
    history.add_config(&config(2, "/d/", &["engines"]));

    assert_eq!(sole_version(&history), Some("v1".to_owned()));
}

// VMs that started between the two have put different ones into force.
#[test]
fn an_older_configuration_after_a_newer_one_leaves_a_gap() {
    let mut older = history(&[listing("s1", "engines", "v1")]);
    older.add_config(&config(3, "/d/", &["engines"]));
    older.add_config(&config(2, "/d/", &["engines"]));

    assert_eq!(sole_version(&older), None);
}

#[test]
fn nothing_is_known_where_records_are_missing() {
    let servers = [listing("s1", "engines", "v1")];
    let mut without_servers = history(&servers);
    without_servers.servers.record_gap();
    let mut without_configs = history(&servers);
    without_configs.configs.record_gap();
    let mut after_loss = history(&servers);
    after_loss.servers.record_read(1, 0, Some(1));
    let mut too_long = history(&servers);
    too_long.servers.record_read(2, 16 * 1024 * 1024, None);
    let mut without_loss = history(&servers);
    without_loss.servers.record_read(1, 0, Some(0));

    let gaps = [without_servers, without_configs, after_loss, too_long];

    assert_eq!(gaps.map(|history| sole_version(&history)), [None, None, None, None]);
    assert_eq!(sole_version(&without_loss), Some("v1".to_owned()));
}
