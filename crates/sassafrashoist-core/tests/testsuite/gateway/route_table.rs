use std::time::Duration;

use sassafrashoist_core::gateway::fleet_config::{ClientAccount, FleetConfig};
use sassafrashoist_core::gateway::route::{Destination, Repeatability, Route};
use sassafrashoist_core::gateway::route_table::{NotAllowed, RouteTable};

use super::simulated_fleet::config_with;

fn route(id: &str, path_prefix: &str, is_public: bool) -> Route {
    Route {
        id: id.to_owned(),
        host: "Desk.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        repeatability: Repeatability::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        priority: 1,
        destinations: vec![
            Destination { pool_id: "main".to_owned(), weight: 90 },
            Destination { pool_id: "trial".to_owned(), weight: 10 },
        ],
        max_attempts: 2,
        is_public,
    }
}

fn table() -> RouteTable {
    let account = ClientAccount {
        id: "workshop".to_owned(),
        api_keys: vec!["k1".to_owned(), "k2".to_owned()],
        priority: None,
        paid_tokens: None,
    };
    let routes = vec![
        route("all", "/", true),
        route("lots", "/lots/", false),
        route("photos", "/lots/photos/", false),
    ];
    RouteTable::new(FleetConfig { routes, accounts: Some(vec![account]), ..config_with(1) })
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();

    let found = |path| table.find_route("desk.example:8080", path).unwrap().id.clone();

    assert_eq!(found("/lots/photos/7"), "photos");
    assert_eq!(found("/lots/photosets"), "lots");
    assert_eq!(found("/lots"), "all");
}

#[test]
fn an_unknown_host_has_no_route() {
    assert_eq!(table().find_route("other.example", "/lots/"), Err(NotAllowed::NoRoute));
}

#[test]
fn a_key_identifies_its_account_and_an_unknown_key_is_rejected() {
    let table = table();
    let lots = table.find_route("desk.example", "/lots/").unwrap();
    let all = table.find_route("desk.example", "/").unwrap();

    assert_eq!(table.authorise(lots, Some("k2")).unwrap().unwrap().id, "workshop");
    assert_eq!(table.authorise(lots, Some("k3")), Err(NotAllowed::UnknownKey));
    assert_eq!(table.authorise(lots, None), Err(NotAllowed::UnknownKey));
    assert_eq!(table.authorise(all, None), Ok(None));
}

#[test]
fn requests_are_distributed_by_weight() {
    let table = table();
    let route = table.find_route("desk.example", "/").unwrap();

    let trial = (0..1_000).filter(|random| route.choose_pool(*random).unwrap() == "trial").count();

    assert_eq!(trial, 100);
}
