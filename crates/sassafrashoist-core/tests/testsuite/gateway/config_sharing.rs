use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::config_announcement::ConfigAnnouncement;
use sassafrashoist_core::gateway::config_readers::ConfigReaders;
use sassafrashoist_core::gateway::config_sharing::{
    ConfigDocument, ConfigSharing, FetchOutcome, Heard, NextFetch, NextLogRead, TopicEnd,
};
use sassafrashoist_core::gateway::document_delta::ChunkedDocument;
use sassafrashoist_core::gateway::live_vms::FleetVm;

const START: Uptime = Duration::from_secs(100);
/// The longest time after the last announcement until a VM reads the log service.
const MAX_SILENCE: Duration = Duration::from_millis(3_200);
const WAIT: Duration = Duration::from_secs(1);
const HALF: f64 = 0.5;

fn vm(index: u16) -> FleetVm {
    FleetVm {
        vm_id: format!("vm-{index}"),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index)),
        data_centre_id: "dc".to_owned(),
    }
}

fn document(version: u64) -> Arc<ConfigDocument> {
    let content = ChunkedDocument::new(format!("configuration {version}").into());
    Arc::new(ConfigDocument { version, content })
}

fn announced(version: u64) -> ConfigAnnouncement {
    let document_hash = document(version).content.hash();
    ConfigAnnouncement { version, document_hash, known_ago: Duration::ZERO }
}

/// A VM with version 1 in a data centre of 20 VMs.
fn sharing(is_reader: bool) -> ConfigSharing {
    let mut sharing = ConfigSharing::default();
    let neighbours = (1..20).map(vm).collect();
    sharing.record_role(&ConfigReaders { is_reader, fleet_vm_count: 100, neighbours });
    sharing.record_in_force(document(1));
    sharing.next_fetch(HALF, START - WAIT);
    sharing.next_fetch(HALF, START);
    sharing
}

/// Lets the fetch that is due begin, and fail.
fn fail_fetch(sharing: &mut ConfigSharing, now: Uptime) {
    let NextFetch::From { vm, announced } = sharing.next_fetch(HALF, now) else {
        panic!("no fetch is due");
    };
    sharing.record_fetch(&vm.vm_id, &announced, FetchOutcome::Failed, HALF, now);
}

/// Makes a read of the log service at once if it is due; returns whether it is.
fn read_log(sharing: &mut ConfigSharing, end: TopicEnd, now: Uptime) -> bool {
    let is_due = sharing.next_log_read(HALF, now) == NextLogRead::Now;
    if is_due {
        sharing.begin_log_read(now);
        sharing.record_log_read(end, now);
    }
    is_due
}

#[test]
fn vm_without_announcements_reads_the_log_service() {
    let mut sharing = sharing(false);

    assert_eq!(sharing.next_log_read(HALF, START), NextLogRead::Now);
}

#[test]
fn vm_leaves_the_log_service_alone_while_it_hears_that_nothing_is_newer() {
    let mut sharing = sharing(false);

    let heard = sharing.hear(&vm(1), &announced(1), HALF, START);
    let soon = sharing.next_log_read(HALF, START + Duration::from_secs(2));
    let late = sharing.next_log_read(HALF, START + MAX_SILENCE);

    assert_eq!(heard, Heard::Confirmed(START));
    assert!(matches!(soon, NextLogRead::NotBefore(_)));
    assert_eq!(late, NextLogRead::Now);
}

#[test]
fn vms_that_lose_their_readers_do_not_read_at_one_moment() {
    let due = |random| {
        let mut sharing = sharing(false);
        sharing.hear(&vm(1), &announced(1), random, START);
        sharing.next_log_read(HALF, START)
    };

    let (NextLogRead::NotBefore(first), NextLogRead::NotBefore(last)) = (due(0.0), due(1.0)) else {
        panic!("a read is due at once");
    };

    assert_eq!(last - first, Duration::from_secs(1));
}

// A reader that does not notice that it is behind must not keep the others from reading.
#[test]
fn announcement_of_an_older_version_or_of_old_knowledge_postpones_nothing() {
    let mut sharing = sharing(false);
    sharing.record_in_force(document(5));
    let old = ConfigAnnouncement { known_ago: Duration::from_secs(3), ..announced(5) };

    let heard = sharing.hear(&vm(1), &announced(4), HALF, START);
    sharing.hear(&vm(1), &old, HALF, START);

    assert_eq!(heard, Heard::Nothing);
    assert_eq!(sharing.next_log_read(HALF, START), NextLogRead::Now);
}

// Datagrams wait in the socket while a process is suspended, and look recent afterwards.
#[test]
fn announcements_that_waited_for_a_suspended_process_confirm_nothing() {
    let mut sharing = sharing(false);
    let resumed_at = START + Duration::from_secs(10);

    let waited = sharing.hear(&vm(1), &announced(1), HALF, resumed_at);
    sharing.next_fetch(HALF, resumed_at);
    let also_waited = sharing.hear(&vm(1), &announced(1), HALF, resumed_at);
    let is_reading = sharing.next_log_read(HALF, resumed_at) == NextLogRead::Now;
    let later = resumed_at + Duration::from_secs(1);
    let recent = sharing.hear(&vm(1), &announced(1), HALF, later);

    assert_eq!((waited, also_waited), (Heard::Nothing, Heard::Nothing));
    assert!(is_reading);
    assert_eq!(recent, Heard::Confirmed(later));
}

// A VM refused requests as too old right after it had received the newest version.
#[test]
fn version_that_was_fetched_is_known_to_have_been_the_newest_when_it_was_announced() {
    let mut sharing = sharing(false);
    sharing.hear(&vm(1), &announced(1), HALF, START - Duration::from_millis(500));
    sharing.hear(&vm(2), &announced(2), HALF, START);
    let before = sharing.newest_by_announcements();

    sharing.record_in_force(document(2));

    assert_eq!(before, Some(START - Duration::from_millis(500)));
    assert_eq!(sharing.newest_by_announcements(), Some(START));
}

#[test]
fn one_fetch_runs_at_a_time_and_the_newest_version_is_next() {
    let mut sharing = sharing(false);
    let later = START + Duration::from_millis(100);
    sharing.hear(&vm(1), &announced(2), HALF, START);

    let first = sharing.next_fetch(HALF, later);
    sharing.hear(&vm(1), &announced(3), HALF, later);
    sharing.hear(&vm(1), &announced(4), HALF, later);
    let meanwhile = sharing.next_fetch(HALF, later);
    sharing.record_in_force(document(2));
    sharing.record_fetch(&vm(1).vm_id, &announced(2), FetchOutcome::Received, 0.0, later);
    let second = sharing.next_fetch(HALF, later);

    assert_eq!(first, NextFetch::From { vm: vm(1), announced: announced(2) });
    assert_eq!(meanwhile, NextFetch::NotYet);
    assert_eq!(second, NextFetch::From { vm: vm(1), announced: announced(4) });
}

#[test]
fn log_service_is_read_after_fetches_failed_at_two_readers() {
    let mut sharing = sharing(false);
    let now = START + Duration::from_millis(100);
    (1..=3).for_each(|index| {
        sharing.hear(&vm(index), &announced(2), HALF, START);
    });

    fail_fetch(&mut sharing, now);
    let after_one = sharing.next_log_read(HALF, now + WAIT);
    fail_fetch(&mut sharing, now);
    let after_two = sharing.next_log_read(HALF, now + WAIT);

    assert!(matches!(after_one, NextLogRead::NotBefore(_)));
    assert_eq!(after_two, NextLogRead::Now);
    assert_eq!(sharing.next_fetch(HALF, now), NextFetch::NotYet);
}

#[test]
fn log_service_is_read_at_random_times_after_a_difference_was_too_long() {
    let due = |random| {
        let mut sharing = sharing(false);
        let now = START + WAIT;
        sharing.hear(&vm(1), &announced(2), HALF, START);
        sharing.next_fetch(HALF, now);
        sharing.record_fetch(&vm(1).vm_id, &announced(2), FetchOutcome::TooLong, random, now);
        sharing.next_log_read(HALF, now)
    };

    assert_eq!(due(0.0), NextLogRead::Now);
    assert_eq!(due(1.0), NextLogRead::NotBefore(START + WAIT + Duration::from_secs(1)));
}

#[test]
fn busy_reader_is_asked_again_a_few_times() {
    let mut sharing = sharing(false);
    let mut now = START + Duration::from_millis(100);
    sharing.hear(&vm(1), &announced(2), HALF, START);

    let mut request_count = 0;
    while let NextFetch::From { vm, announced } = sharing.next_fetch(HALF, now) {
        request_count += 1;
        sharing.record_fetch(&vm.vm_id, &announced, FetchOutcome::Busy, HALF, now);
        now += Duration::from_millis(300);
    }

    assert_eq!(request_count, 5);
    assert_eq!(sharing.next_log_read(HALF, now + WAIT), NextLogRead::Now);
}

// Otherwise a version that only one VM has, or that this VM cannot decode, is fetched without end.
#[test]
fn version_that_is_not_in_the_log_or_not_decoded_is_left_alone() {
    for outcome in [FetchOutcome::Undecodable, FetchOutcome::TooLong] {
        let mut sharing = sharing(false);
        let mut now = START + Duration::from_millis(100);
        sharing.hear(&vm(1), &announced(9), HALF, START);
        sharing.next_fetch(HALF, now);
        sharing.record_fetch(&vm(1).vm_id, &announced(9), outcome, 0.0, now);
        read_log(&mut sharing, TopicEnd::Reached, now + WAIT);

        now += Duration::from_secs(4);
        sharing.next_fetch(HALF, now);
        now += WAIT;
        sharing.hear(&vm(1), &announced(9), HALF, now);
        let fetch = sharing.next_fetch(HALF, now + WAIT);

        assert_eq!(fetch, NextFetch::NotYet, "{outcome:?}");
        assert!(read_log(&mut sharing, TopicEnd::Reached, now + WAIT), "{outcome:?}");
    }
}

// A VM whose reads fail must still get a version from other VMs after their fetches failed once.
#[test]
fn fetches_begin_again_after_the_log_service_failed_too() {
    let mut sharing = sharing(false);
    let mut now = START + Duration::from_millis(100);
    sharing.hear(&vm(1), &announced(2), HALF, START);
    sharing.hear(&vm(2), &announced(2), HALF, START);
    fail_fetch(&mut sharing, now);
    fail_fetch(&mut sharing, now);
    now += WAIT;
    assert_eq!(sharing.next_log_read(HALF, now), NextLogRead::Now);
    sharing.begin_log_read(now);
    sharing.next_log_read(HALF, now + WAIT);

    sharing.next_fetch(HALF, now);
    sharing.hear(&vm(1), &announced(2), HALF, now + WAIT);
    let fetch = sharing.next_fetch(HALF, now + WAIT + Duration::from_millis(100));

    assert!(matches!(fetch, NextFetch::From { .. }), "{fetch:?}");
}

// VMs without readers must not read together at the end of an outage of the log service.
#[test]
fn failed_reads_of_a_vm_that_is_no_reader_are_spread() {
    let mut sharing = sharing(false);
    let mut now = START;
    sharing.hear(&vm(1), &announced(1), HALF, now);
    now += MAX_SILENCE;
    for _ in 0..4 {
        sharing.begin_log_read(now);
        now += WAIT;
        let after_failure = sharing.next_log_read(HALF, now);
        now += Duration::from_secs(2);
        let later = sharing.next_log_read(HALF, now);

        assert!(matches!(after_failure, NextLogRead::NotBefore(_)));
        assert_eq!(later, NextLogRead::Now);
    }
}

// During an upgrade, the selected readers may have a build that announces nothing.
#[test]
fn failed_reads_of_a_vm_that_never_heard_a_reader_are_repeated_as_by_readers() {
    let mut sharing = sharing(false);
    sharing.begin_log_read(START);

    let after_failure = sharing.next_log_read(HALF, START + WAIT);

    assert_eq!(after_failure, NextLogRead::Now);
}

#[test]
fn reader_announces_only_while_it_knows_that_nothing_is_newer() {
    let mut sharing = sharing(true);
    let unknown = sharing.announcement(START);

    sharing.begin_log_read(START);
    let known_at = sharing.record_log_read(TopicEnd::ReachedAfter(WAIT), START + 2 * WAIT);
    let recent = sharing.announcement(START + 2 * WAIT);
    let stale = sharing.announcement(START + 4 * WAIT);

    assert_eq!(unknown, None);
    assert_eq!(known_at, Some(START + WAIT));
    assert_eq!(recent, Some(ConfigAnnouncement { known_ago: WAIT, ..announced(1) }));
    assert_eq!(stale, None);
}

#[test]
fn reader_behind_the_end_of_the_topic_announces_nothing() {
    let mut sharing = sharing(true);

    sharing.begin_log_read(START);
    let known_at = sharing.record_log_read(TopicEnd::NotReached, START);

    assert_eq!((known_at, sharing.announcement(START)), (None, None));
}

// A reader that is cut off gets new versions from the others, but leaves the log time to send them.
#[test]
fn reader_fetches_a_version_that_the_log_service_does_not_send() {
    let mut sharing = sharing(true);
    sharing.hear(&vm(1), &announced(2), HALF, START);

    let at_once = sharing.next_fetch(HALF, START + Duration::from_millis(500));
    let later = sharing.next_fetch(HALF, START + Duration::from_millis(1_100));

    assert!(matches!(at_once, NextFetch::At(_)));
    assert_eq!(later, NextFetch::From { vm: vm(1), announced: announced(2) });
}

#[test]
fn vm_that_is_not_a_reader_announces_nothing() {
    let mut sharing = sharing(false);
    read_log(&mut sharing, TopicEnd::Reached, START);

    assert_eq!(sharing.announcement(START), None);
}
