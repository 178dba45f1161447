use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::config_times::ConfigTimes;
use sassafrashoist_core::gateway::evacuations::{
    Evacuations, OrderRecord, OrderState, OrdersPosition,
};
use sassafrashoist_core::gateway::server_directory::{ServerDirectory, ServerRequirements};
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::routing::server_limit::LimitStatement;

const START: Duration = Duration::from_secs(100);
const TIMES: fn() -> ConfigTimes = || ConfigTimes::new(Duration::from_secs(5));

fn at(end: u64) -> OrdersPosition {
    OrdersPosition { era: 0, end }
}

fn order(data_centre: &str) -> OrderRecord {
    OrderRecord { data_centre_id: data_centre.to_owned(), state: Some(OrderState::InForce) }
}

fn unreadable(data_centre: &str) -> OrderRecord {
    OrderRecord { data_centre_id: data_centre.to_owned(), state: Some(OrderState::Unreadable) }
}

fn removal(data_centre: &str) -> OrderRecord {
    OrderRecord { data_centre_id: data_centre.to_owned(), state: None }
}

fn in_force(data_centre: &str) -> (String, OrderState) {
    (data_centre.to_owned(), OrderState::InForce)
}

fn evacuated(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.evacuated().map(String::as_str).collect()
}

/// Returns a directory with two servers in each of the data centres a, b and c.
fn directory() -> ServerDirectory {
    let mut directory =
        ServerDirectory::new("a".to_owned(), Duration::from_secs(10), Duration::from_secs(2));
    for (index, data_centre) in ["a", "a", "b", "b", "c", "c"].into_iter().enumerate() {
        let listing = ServerListing {
            id: format!("server-{index}"),
            pool_id: "engines".to_owned(),
            address: SocketAddr::from(([10, 1, 0, index as u8], 8_000)),
            data_centre_id: data_centre.to_owned(),
            slot_count: 64,
            is_draining: false,
            started_at_unix_ms: 7,
            software_version: "v1".to_owned(),
        };
        directory.add_or_update(listing, START);
    }
    directory
}

fn requirements() -> ServerRequirements {
    ServerRequirements { pool_id: "engines".to_owned(), ..ServerRequirements::default() }
}

/// Returns the data centres to whose servers 200 requests are sent.
fn used_data_centres(directory: &mut ServerDirectory) -> Vec<String> {
    let chosen = (0..200_u64).filter_map(|random| {
        directory.choose(&requirements(), random.wrapping_mul(0x9e37_79b9_7f4a_7c15), START)
    });
    let mut used: Vec<_> = chosen.map(|choice| choice.listing.data_centre_id).collect();
    used.sort();
    used.dedup();
    used
}

// Requests went on to servers of a data centre that was about to be switched off.
#[test]
fn no_server_of_an_evacuated_data_centre_is_chosen_until_the_order_is_removed() {
    let mut directory = directory();

    directory.evacuations.record_appended(at(1), [(0, order("a"))]);
    let with_one = used_data_centres(&mut directory);
    directory.evacuations.record_appended(at(2), [(1, order("b"))]);
    let with_two = used_data_centres(&mut directory);
    directory.evacuations.record_appended(at(3), [(2, removal("a"))]);
    let after_removal = used_data_centres(&mut directory);

    assert_eq!(with_one, ["b", "c"]);
    assert_eq!(with_two, ["c"]);
    assert!(after_removal.contains(&"a".to_owned()), "{after_removal:?}");
    assert!(!after_removal.contains(&"b".to_owned()), "{after_removal:?}");
}

#[test]
fn no_server_is_chosen_if_all_data_centres_are_evacuated() {
    let mut directory = directory();
    for index in 0..6 {
        let named = LimitStatement::Named(0.5);
        directory.record_limit(&format!("server-{index}"), named, START, START);
        let next_at = START + Duration::from_secs(1);
        directory.record_next_permit(&format!("server-{index}"), next_at);
    }
    assert!(directory.find_next_permitted(&requirements(), START).is_some());

    directory.evacuations.record_snapshot(at(9), ["a", "b", "c"].map(in_force));

    assert_eq!(directory.find(&requirements(), 7, START), None);
    assert_eq!(directory.find_next_permitted(&requirements(), START), None);
}

// A request waits between the choice of its server and the start of its attempt, for a permit.
#[test]
fn attempt_does_not_begin_on_a_server_whose_data_centre_was_evacuated_meanwhile() {
    let mut directory = directory();
    let found = directory.find(&requirements(), 7, START).unwrap();

    let data_centre = found.listing.data_centre_id.clone();
    directory.evacuations.record_appended(at(1), [(0, order(&data_centre))]);

    assert!(!directory.begin_attempt(&found, &requirements(), START));
}

#[test]
fn order_that_cannot_be_read_has_no_effect_and_leaves_an_earlier_one_in_force() {
    let mut evacuations = Evacuations::default();

    let changes = evacuations
        .record_appended(at(3), [(0, order("a")), (1, unreadable("a")), (2, unreadable("b"))]);

    assert_eq!(evacuated(&evacuations), ["a"]);
    assert_eq!((changes.evacuated, changes.unreadable), (vec!["a".into()], vec!["b".into()]));
}

// The key of an order may have been written over before this VM started. Its announcement must not
// revoke the order at VMs that know it.
#[test]
fn vm_that_never_read_an_order_does_not_revoke_it_elsewhere() {
    let mut started_later = Evacuations::default();
    started_later.record_snapshot(at(5), [("a".to_owned(), OrderState::Unreadable)]);
    started_later.record_confirmed(START, &TIMES(), 0.0);
    let mut other = Evacuations::default();
    other.record_appended(at(3), [(0, order("a"))]);

    let announced = started_later.announcement(START).unwrap();
    other.hear(announced, START, &TIMES(), 0.0);

    assert_eq!(evacuated(&other), ["a"]);
}

#[test]
fn vm_that_starts_knows_the_orders_from_the_newest_records() {
    let mut evacuations = Evacuations::default();

    let changes = evacuations.record_snapshot(at(70), [in_force("a"), in_force("nowhere")]);

    assert_eq!(evacuated(&evacuations), ["a", "nowhere"]);
    assert_eq!(changes.evacuated, ["a", "nowhere"]);
}

// Announcements overtake each other and the reads of the VM itself.
#[test]
fn older_knowledge_does_not_replace_newer() {
    let mut reader = Evacuations::default();
    reader.record_appended(at(1), [(0, order("a"))]);
    reader.record_confirmed(START, &TIMES(), 0.0);
    let older = reader.announcement(START).unwrap();
    reader.record_appended(at(2), [(1, removal("a"))]);
    let newer = reader.announcement(START).unwrap();
    let mut vm = Evacuations::default();

    vm.hear(newer, START, &TIMES(), 0.0);
    vm.hear(older.clone(), START + Duration::from_secs(1), &TIMES(), 0.0);
    let after_older = evacuated(&vm).len();
    let known_at = vm.known_at();
    vm.record_appended(at(1), [(0, order("a"))]);
    let after_own_read = evacuated(&vm).len();
    vm.record_snapshot(at(1), [in_force("a")]);

    assert_eq!((after_older, after_own_read, evacuated(&vm).len()), (0, 0, 0));
    assert_eq!(known_at, Some(START));
}

// The offsets of a restored log begin again before those that VMs know.
#[test]
fn log_that_lost_records_replaces_the_orders() {
    let mut evacuations = Evacuations::default();
    evacuations.record_appended(at(50), [(49, order("a"))]);

    evacuations.record_snapshot(OrdersPosition { era: 1, end: 20 }, [in_force("b")]);

    assert_eq!(evacuated(&evacuations), ["b"]);
}

// A VM without contact cannot know of a removal; serving from a data centre that may be switched off
// is worse than leaving it out.
#[test]
fn last_known_orders_stay_in_force_without_contact_and_a_read_becomes_due() {
    let mut evacuations = Evacuations::default();
    evacuations.record_snapshot(at(1), [in_force("a")]);

    evacuations.record_confirmed(START, &TIMES(), 1.0);

    assert_eq!(evacuations.read_due_at(), START + Duration::from_millis(3_750));
    assert!(evacuations.is_evacuated("a"));
}
