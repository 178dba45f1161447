use sassafrashoist_core::gateway::open_connection_limit::{CONNECTION_BYTES, OpenConnectionLimit};
use sassafrashoist_core::gateway::request_limit::RequestLimit;

const MEGABYTE: u64 = 1024 * 1024;
/// The memory of a process that holds neither requests nor connections.
const IDLE_MEGABYTES: u64 = 40;

/// Returns the number of connections at which no other one is accepted.
fn max_count(limit: OpenConnectionLimit) -> usize {
    (0..1_000_000).find(|count| !limit.allows_another(*count)).unwrap()
}

// Callers that were refused kept 4,000 connections to VMs of 88 and 110 MB, which ended.
#[test]
fn connections_leave_half_of_the_memory_to_requests() {
    for memory_mb in [88, 110, 260] {
        let limit = OpenConnectionLimit::new(Some(memory_mb * MEGABYTE), None);

        let max_bytes = max_count(limit) as u64 * CONNECTION_BYTES;

        let half = (memory_mb - IDLE_MEGABYTES) * MEGABYTE / 2;
        assert!(max_bytes <= half && max_bytes > half - CONNECTION_BYTES, "{memory_mb}");
    }
}

#[test]
fn connections_leave_descriptors_for_files_and_servers() {
    let limit = OpenConnectionLimit::new(None, Some(4_100));

    let connection_count = max_count(limit);

    // Each of them may have a request that takes a connection to a server.
    assert!(2 * connection_count < 4_100 - 200, "{connection_count}");
    assert!(connection_count > 1_500, "{connection_count}");
}

#[test]
fn responses_end_connections_before_idle_ones_are_closed_and_new_ones_wait() {
    let limit = OpenConnectionLimit::new(Some(110 * MEGABYTE), Some(4_100));
    let max_count = max_count(limit);

    let first = |is_reached: &dyn Fn(usize) -> bool| {
        (0..=max_count).find(|count| is_reached(*count)).unwrap()
    };
    let ends_from = first(&|count| limit.ends_connections(count));
    let closes_from = first(&|count| limit.closes_idle(count));

    assert!(ends_from > max_count / 2, "{ends_from}");
    assert!(ends_from < closes_from && closes_from < max_count, "{ends_from} {closes_from}");
}

#[test]
fn vm_with_few_resources_still_accepts_connections() {
    let limit = OpenConnectionLimit::new(Some(16 * MEGABYTE), Some(100));

    assert!(limit.allows_another(60));
    assert!(!limit.allows_another(100));
}

#[test]
fn vm_without_limits_accepts_all_connections() {
    let limit = OpenConnectionLimit::new(None, None);

    assert!(limit.allows_another(1_000_000));
    assert!(!limit.ends_connections(1_000_000) && !limit.closes_idle(1_000_000));
}

#[test]
fn connections_and_requests_share_the_memory() {
    let limit = RequestLimit::of_memory(Some(88 * MEGABYTE));

    let allowed =
        [0, 900, 1_800].map(|connections| limit.beside_connections(connections).allows(400, 0));
    let allows_few = limit.beside_connections(1_000_000).allows(32, 0);

    assert_eq!(allowed, [true, true, false]);
    assert!(allows_few);
}
