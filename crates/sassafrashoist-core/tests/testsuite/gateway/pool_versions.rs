use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::pool_versions::PoolVersions;
use sassafrashoist_core::gateway::server_directory::ServerDirectory;
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::stream_origins::StreamOrigin;

const START: Duration = Duration::from_secs(100);
const STREAM_TIME: Duration = Duration::from_secs(20);

fn listing(version: &str, started_at_unix_ms: u64) -> ServerListing {
    ServerListing {
        id: "server-1".to_owned(),
        pool_id: "engines".to_owned(),
        address: SocketAddr::from(([10, 1, 0, 1], 8_000)),
        data_centre_id: "plateau".to_owned(),
        slot_count: 64,
        is_draining: false,
        started_at_unix_ms,
        software_version: version.to_owned(),
    }
}

/// Reads a list with one server every second, for so many seconds.
fn read_for(versions: &mut PoolVersions, from: Duration, seconds: u64, version: &str) -> Duration {
    for second in 0..=seconds {
        let now = from + Duration::from_secs(second);
        versions.record_seen(&listing(version, 1), now);
        versions.record_read(now);
    }
    from + Duration::from_secs(seconds)
}

#[test]
fn the_only_version_is_known_after_as_long_as_a_stream_lasts() {
    let mut versions = PoolVersions::default();
    let early = read_for(&mut versions, START, 10, "v1");
    let version_early = versions.sole_version("engines", STREAM_TIME, [].iter(), early).cloned();
    let late = read_for(&mut versions, early, 10, "v1");

    let version_late = versions.sole_version("engines", STREAM_TIME, [].iter(), late).cloned();

    assert_eq!((version_early, version_late), (None, Some("v1".to_owned())));
}

#[test]
fn a_version_that_was_there_recently_is_not_forgotten() {
    let mut versions = PoolVersions::default();
    let changed = read_for(&mut versions, START, 30, "v1");
    let soon = read_for(&mut versions, changed, 15, "v2");
    let version_soon = versions.sole_version("engines", STREAM_TIME, [].iter(), soon).cloned();
    let late = read_for(&mut versions, soon, 10, "v2");

    let version_late = versions.sole_version("engines", STREAM_TIME, [].iter(), late).cloned();

    assert_eq!((version_soon, version_late), (None, Some("v2".to_owned())));
}

#[test]
fn nothing_is_known_after_a_gap_in_the_reads() {
    let mut versions = PoolVersions::default();
    let before = read_for(&mut versions, START, 30, "v1");
    let after = read_for(&mut versions, before + Duration::from_secs(5), 1, "v1");

    assert_eq!(versions.sole_version("engines", STREAM_TIME, [].iter(), after), None);
}

// Entries are read late: the server may have started again when the stream began there.
#[test]
fn the_origin_is_doubtful_if_the_server_has_just_returned_with_another_version() {
    let mut directory =
        ServerDirectory::new("plateau".to_owned(), Duration::ZERO, Duration::from_secs(2));
    directory.add_or_update(listing("v1", 1), START);
    let origin = StreamOrigin {
        pool_id: "engines".to_owned(),
        server_id: "server-1".to_owned(),
        started_at_unix_ms: 1,
        software_version: "v1".to_owned(),
        account_id: None,
    };
    let returned_at = START + Duration::from_secs(60);

    let before = directory.is_origin_doubtful(&origin, returned_at);
    directory.add_or_update(listing("v2", 2), returned_at);
    let just_before = directory.is_origin_doubtful(&origin, returned_at - Duration::from_secs(1));
    let long_before = directory.is_origin_doubtful(&origin, returned_at - Duration::from_secs(10));

    assert_eq!((before, just_before, long_before), (false, true, false));
}

#[test]
fn the_version_is_uncertain_without_the_list_and_after_a_refused_connection() {
    let mut directory =
        ServerDirectory::new("plateau".to_owned(), Duration::ZERO, Duration::from_secs(2));
    directory.add_or_update(listing("v1", 1), START);
    directory.pool_versions.record_read(START);
    let during_outage = START + Duration::from_secs(10);

    let without_list = directory.is_version_certain(&listing("v1", 1), during_outage);
    directory.record_refused_connection("server-1");
    let with_list = directory.is_version_certain(&listing("v1", 1), START);
    let refused = directory.is_version_certain(&listing("v1", 1), during_outage);

    assert_eq!((without_list, with_list, refused), (true, true, false));
}

/// Returns a directory whose list was read up to a moment, with one server of the version "v1".
fn directory_read_until(until: Duration) -> ServerDirectory {
    let mut directory =
        ServerDirectory::new("plateau".to_owned(), Duration::ZERO, Duration::from_secs(2));
    let mut now = START;
    while now <= until {
        directory.add_or_update(listing("v1", 1), now);
        directory.pool_versions.record_read(now);
        now += Duration::from_secs(1);
    }
    directory
}

// The list was read a second ago, and a server of another version has joined since.
#[test]
fn a_version_that_has_just_joined_is_not_overlooked() {
    let until = START + Duration::from_secs(30);
    let directory = directory_read_until(until);
    let now = until + Duration::from_secs(1);
    let same = ServerListing { id: "server-2".to_owned(), ..listing("v1", 2) };
    let joined = ServerListing { id: "server-2".to_owned(), ..listing("v2", 2) };
    let elsewhere = ServerListing { pool_id: "desk".to_owned(), ..joined.clone() };
    let sole_version = |unapplied| directory.sole_version("engines", STREAM_TIME, unapplied, now);

    let versions = [&[][..], &[same], &[elsewhere], &[joined]].map(sole_version);

    let first = Some("v1".to_owned());
    assert_eq!(versions, [first.clone(), first.clone(), first, None]);
}

// A VM that stood still receives a response that was sent before.
#[test]
fn a_late_response_does_not_make_the_list_younger_than_its_call() {
    let mut versions = PoolVersions::default();
    let known_at = read_for(&mut versions, START, 30, "v1");
    let received_at = known_at + Duration::from_secs(4);
    versions.record_seen(&listing("v1", 1), received_at);
    versions.record_read(known_at);

    let version = versions.sole_version("engines", STREAM_TIME, [].iter(), received_at);

    assert_eq!((version, versions.list_age(received_at)), (None, Some(Duration::from_secs(4))));
}

// A server may join and leave between two reads of the newest entries.
#[test]
fn nothing_is_known_of_the_time_before_a_read_of_the_newest_entries() {
    let mut versions = PoolVersions::default();
    let before = read_for(&mut versions, START, 30, "v1");
    versions.record_newest_read(before + Duration::from_secs(1));
    let soon = read_for(&mut versions, before + Duration::from_secs(2), 10, "v1");
    let version_soon = versions.sole_version("engines", STREAM_TIME, [].iter(), soon).cloned();
    let late = read_for(&mut versions, soon, 10, "v1");

    let version_late = versions.sole_version("engines", STREAM_TIME, [].iter(), late).cloned();

    assert_eq!((version_soon, version_late), (None, Some("v1".to_owned())));
}

// The entry of a server that has just joined arrives in a read that may have begun long before.
#[test]
fn an_entry_that_has_just_been_read_is_younger_than_the_list() {
    let mut directory =
        ServerDirectory::new("plateau".to_owned(), Duration::ZERO, Duration::from_secs(2));
    let read_at = START + Duration::from_secs(2);
    directory.add_or_update(listing("v1", 1), read_at);
    let unread = directory.incarnation_age(&listing("v1", 1), read_at);
    directory.pool_versions.record_read(START);
    let at_once = directory.incarnation_age(&listing("v1", 1), read_at);
    let later = read_at + Duration::from_secs(10);
    directory.pool_versions.record_read(later);

    let after_next_read =
        directory.incarnation_age(&listing("v1", 1), later + Duration::from_secs(1));
    let of_another = directory.incarnation_age(&listing("v2", 2), later);

    let one_second = Some(Duration::from_secs(1));
    assert_eq!(
        (unread, at_once, after_next_read, of_another),
        (None, Some(Duration::ZERO), one_second, None)
    );
}

// A VM that keeps an origin may read the entry of a restarted server later than the VM that sent it.
#[test]
fn an_origin_is_outdated_only_if_the_list_has_a_later_start_of_its_server() {
    let mut directory =
        ServerDirectory::new("plateau".to_owned(), Duration::ZERO, Duration::from_secs(2));
    let origin = |version: &str, started_at_unix_ms| StreamOrigin {
        pool_id: "engines".to_owned(),
        server_id: "server-1".to_owned(),
        started_at_unix_ms,
        software_version: version.to_owned(),
        account_id: None,
    };
    directory.add_or_update(listing("v2", 2), START);

    let earlier = directory.is_origin_outdated(&origin("v1", 1), START);
    let same = directory.is_origin_outdated(&origin("v2", 2), START);
    let later = directory.is_origin_outdated(&origin("v3", 3), START);
    let long_after = directory.is_origin_outdated(&origin("v1", 1), START - 2 * STREAM_TIME);

    assert_eq!((earlier, same, later, long_after), (true, false, false, false));
}

#[test]
fn the_listing_of_an_origin_is_that_of_its_incarnation_while_it_is_listed() {
    let mut directory =
        ServerDirectory::new("plateau".to_owned(), Duration::ZERO, Duration::from_secs(2));
    directory.add_or_update(listing("v1", 1), START);
    let origin = |version: &str, started_at_unix_ms| StreamOrigin {
        pool_id: "engines".to_owned(),
        server_id: "server-1".to_owned(),
        started_at_unix_ms,
        software_version: version.to_owned(),
        account_id: None,
    };

    let same = directory.origin_listing(&origin("v1", 1)).cloned();
    let earlier = directory.origin_listing(&origin("v1", 0)).cloned();
    directory.mark_unlisted("server-1", START);
    let unlisted = directory.origin_listing(&origin("v1", 1)).cloned();

    assert_eq!((same, earlier, unlisted), (Some(listing("v1", 1)), None, None));
}

// A server writes its entry once and stays in the list.
#[test]
fn version_of_servers_whose_entries_do_not_change_stays_known() {
    let mut directory =
        ServerDirectory::new("plateau".to_owned(), Duration::ZERO, Duration::from_secs(2));
    directory.add_or_update(listing("v1", 1), START);
    let until = START + STREAM_TIME * 3;
    let mut now = START;
    while now <= until {
        directory.pool_versions.record_read(now);
        now += Duration::from_secs(1);
    }

    let version = directory.sole_version("engines", STREAM_TIME, &[], until);

    assert_eq!(version, Some("v1".to_owned()));
}

// A server that started again while the log service was away writes its entry a little later.
#[test]
fn an_entry_may_be_missing_from_a_list_that_has_just_been_read() {
    let mut directory =
        ServerDirectory::new("plateau".to_owned(), Duration::ZERO, Duration::from_secs(2));
    let unread = directory.entry_delay_left(START);
    directory.pool_versions.record_newest_read(START);
    let at_once = directory.entry_delay_left(START);
    let soon = START + Duration::from_secs(1);
    directory.pool_versions.record_read(soon);
    let soon = directory.entry_delay_left(soon);
    let late = START + Duration::from_secs(4);
    directory.pool_versions.record_read(late);

    let after_delay = directory.entry_delay_left(late);
    let after_outage = directory.entry_delay_left(late + Duration::from_secs(10));

    let seconds = |seconds| Some(Duration::from_secs(seconds));
    assert_eq!(
        [unread, at_once, soon, after_delay, after_outage],
        [None, seconds(3), seconds(2), seconds(0), None]
    );
}
