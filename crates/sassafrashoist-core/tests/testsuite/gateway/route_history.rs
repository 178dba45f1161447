use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::fleet_config::FleetConfig;
use sassafrashoist_core::gateway::route::{Destination, Repeatability, Route};
use sassafrashoist_core::gateway::route_history::RouteHistory;
use sassafrashoist_core::gateway::route_table::RouteTable;

use super::simulated_fleet::config_with;

const HOST: &str = "desk.example";
const START: Duration = Duration::from_secs(100);
/// A timeout, and the time for which a stream of such a route may be resumed.
const SHORT: Duration = Duration::from_secs(5);
const SHORT_AGE: Duration = Duration::from_secs(20);
const LONG: Duration = Duration::from_secs(20);
const LONG_AGE: Duration = Duration::from_secs(50);
const TICK: Duration = Duration::from_millis(1);

fn route(path_prefix: &str, timeout: Duration, pools: &[&str]) -> Route {
    let destination = |pool: &&str| Destination { pool_id: (*pool).to_owned(), weight: 1 };
    Route {
        id: path_prefix.to_owned(),
        host: HOST.to_owned(),
        path_prefix: path_prefix.to_owned(),
        repeatability: Repeatability::ResumableStream,
        timeout,
        target_latency: Duration::from_millis(300),
        priority: 1,
        destinations: pools.iter().map(destination).collect(),
        max_attempts: 2,
        is_public: false,
    }
}

/// Puts configurations into force, each at a time; the first one has version 1.
fn history(configs: &[(Duration, Vec<Route>)]) -> RouteHistory {
    let mut history = RouteHistory::default();
    for (index, (at, routes)) in configs.iter().enumerate() {
        let version = index as u64 + 1;
        let config = FleetConfig { version, routes: routes.clone(), ..config_with(0) };
        assert!(history.replace(&Arc::new(RouteTable::new(config)), *at));
    }
    history
}

/// Returns the only pool of a path at a time, and the age of its oldest streams.
fn sole_pool(history: &RouteHistory, path: &str, now: Duration) -> Option<(String, Duration)> {
    history.sole_pool(HOST, path, now).map(|sole| (sole.pool_id, sole.max_stream_age))
}

fn pool(id: &str, max_stream_age: Duration) -> Option<(String, Duration)> {
    Some((id.to_owned(), max_stream_age))
}

#[test]
fn the_pool_is_not_known_until_streams_of_the_time_before_the_first_configuration_are_over() {
    let history = history(&[(START, vec![route("/d/", SHORT, &["a"])])]);

    let early = sole_pool(&history, "/d/1", START + SHORT_AGE - TICK);
    let late = sole_pool(&history, "/d/1", START + SHORT_AGE);

    assert_eq!((early, late), (None, pool("a", SHORT_AGE)));
}

#[test]
fn a_stream_may_have_begun_at_the_pool_that_its_route_was_moved_from() {
    let moved_at = START + LONG_AGE;
    let history = history(&[
        (START, vec![route("/d/", SHORT, &["a"])]),
        (moved_at, vec![route("/d/", SHORT, &["b"])]),
    ]);

    let early = sole_pool(&history, "/d/1", moved_at + SHORT_AGE - TICK);
    let late = sole_pool(&history, "/d/1", moved_at + SHORT_AGE);

    assert_eq!((early, late), (None, pool("b", SHORT_AGE)));
}

// The streams of the old service have the old timeout.
#[test]
fn a_shorter_timeout_does_not_end_the_streams_that_began_before() {
    let moved_at = START + LONG_AGE;
    let history = history(&[
        (START, vec![route("/d/", LONG, &["a"])]),
        (moved_at, vec![route("/d/", SHORT, &["b"])]),
    ]);

    let early = sole_pool(&history, "/d/1", moved_at + LONG_AGE - TICK);
    let late = sole_pool(&history, "/d/1", moved_at + LONG_AGE);

    assert_eq!((early, late), (None, pool("b", SHORT_AGE)));
}

#[test]
fn the_longest_timeout_counts_while_streams_that_began_under_it_last() {
    let shortened_at = START + LONG_AGE;
    let history = history(&[
        (START, vec![route("/d/", LONG, &["a"])]),
        (shortened_at, vec![route("/d/", SHORT, &["a"])]),
    ]);

    let early = sole_pool(&history, "/d/1", shortened_at + LONG_AGE - TICK);
    let late = sole_pool(&history, "/d/1", shortened_at + LONG_AGE);

    assert_eq!((early, late), (pool("a", LONG_AGE), pool("a", SHORT_AGE)));
}

#[test]
fn a_route_that_was_split_and_joined_again_does_not_tell_the_pool_of_a_stream() {
    let split_at = START + LONG_AGE;
    let joined_at = split_at + LONG_AGE;
    let mut configs = vec![
        (START, vec![route("/d/", SHORT, &["a"])]),
        (split_at, vec![route("/d/", SHORT, &["a", "b"])]),
    ];
    let split = history(&configs);
    configs.push((joined_at, vec![route("/d/", SHORT, &["a"])]));
    let joined = history(&configs);

    let while_split = sole_pool(&split, "/d/1", joined_at);
    let early = sole_pool(&joined, "/d/1", joined_at + SHORT_AGE - TICK);
    let late = sole_pool(&joined, "/d/1", joined_at + SHORT_AGE);

    assert_eq!((while_split, early, late), (None, None, pool("a", SHORT_AGE)));
}

// The requests of a route that was removed match a shorter prefix.
#[test]
fn a_path_whose_route_was_removed_has_led_to_the_pool_of_that_route() {
    let changed_at = START + LONG_AGE;
    let all = route("/", SHORT, &["a"]);
    let drafts = route("/d/", SHORT, &["b"]);
    let removed =
        history(&[(START, vec![all.clone(), drafts.clone()]), (changed_at, vec![all.clone()])]);

    let below = sole_pool(&removed, "/d/1", changed_at + SHORT_AGE - TICK);
    let beside = sole_pool(&removed, "/e/1", changed_at + SHORT_AGE - TICK);
    let late = sole_pool(&removed, "/d/1", changed_at + SHORT_AGE);

    assert_eq!((below, beside), (None, pool("a", SHORT_AGE)));
    assert_eq!(late, pool("a", SHORT_AGE));
}

// The requests of a new route have matched a shorter prefix.
#[test]
fn a_path_of_a_new_route_has_led_to_the_pool_of_a_shorter_prefix() {
    let changed_at = START + LONG_AGE;
    let all = route("/", SHORT, &["a"]);
    let added = history(&[
        (START, vec![all.clone()]),
        (changed_at, vec![route("/d/", SHORT, &["b"]), all]),
    ]);

    let early = sole_pool(&added, "/d/1", changed_at + SHORT_AGE - TICK);
    let late = sole_pool(&added, "/d/1", changed_at + SHORT_AGE);

    assert_eq!((early, late), (None, pool("b", SHORT_AGE)));
}

#[test]
fn a_new_route_without_a_shorter_prefix_tells_the_pool_at_once() {
    let changed_at = START + LONG_AGE;
    let added = history(&[
        (START, vec![route("/e/", SHORT, &["a"])]),
        (changed_at, vec![route("/e/", SHORT, &["a"]), route("/d/", SHORT, &["b"])]),
    ]);

    assert_eq!(sole_pool(&added, "/d/1", changed_at), pool("b", SHORT_AGE));
}

// A route that was removed before this process started may have come back.
#[test]
fn a_new_route_does_not_tell_the_pool_of_streams_of_the_time_before_the_first_configuration() {
    let changed_at = START + Duration::from_secs(1);
    let added = history(&[
        (START, vec![route("/e/", SHORT, &["a"])]),
        (changed_at, vec![route("/d/", SHORT, &["b"])]),
    ]);

    let early = sole_pool(&added, "/d/1", START + SHORT_AGE - TICK);
    let late = sole_pool(&added, "/d/1", START + SHORT_AGE);

    assert_eq!((early, late), (None, pool("b", SHORT_AGE)));
}

#[test]
fn a_change_of_weights_leaves_a_route_where_it_led() {
    let mut heavier = route("/d/", SHORT, &["a"]);
    heavier.destinations[0].weight = 9;
    let history =
        history(&[(START, vec![route("/d/", SHORT, &["a"])]), (START + SHORT_AGE, vec![heavier])]);

    assert_eq!(sole_pool(&history, "/d/1", START + SHORT_AGE), pool("a", SHORT_AGE));
}

#[test]
fn a_path_has_led_to_a_pool_while_streams_that_began_there_last() {
    let moved_at = START + LONG_AGE;
    let history = history(&[
        (START, vec![route("/d/", SHORT, &["a"])]),
        (moved_at, vec![route("/d/", SHORT, &["b"])]),
    ]);
    let has_led_to = |pool, now| history.has_led_to(HOST, "/d/1", pool, now);

    let early = moved_at + SHORT_AGE - TICK;
    let led = ["a", "b", "c"].map(|pool| has_led_to(pool, early));

    assert_eq!(led, [true, true, false]);
    assert!(!has_led_to("a", moved_at + SHORT_AGE));
}

#[test]
fn a_configuration_that_is_not_newer_does_not_replace_the_active_one() {
    let mut history = history(&[(START, vec![route("/d/", SHORT, &["a"])])]);
    let same = FleetConfig { routes: vec![route("/d/", SHORT, &["b"])], ..config_with(0) };

    let is_replaced = history.replace(&Arc::new(RouteTable::new(same)), START + SHORT_AGE);

    assert!(!is_replaced);
    assert_eq!(sole_pool(&history, "/d/1", START + SHORT_AGE), pool("a", SHORT_AGE));
}
