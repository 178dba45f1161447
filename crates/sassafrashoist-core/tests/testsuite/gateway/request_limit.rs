use sassafrashoist_core::gateway::request_limit::RequestLimit;

const MEGABYTE: u64 = 1024 * 1024;

// One account sent 200 requests a second to a VM of 88 MB, which held 1,250 of them and ended.
#[test]
fn vm_of_88_megabytes_refuses_what_it_could_not_hold() {
    let limit = RequestLimit::of_memory(Some(88 * MEGABYTE));

    let allowed = [300, 700, 1_250].map(|count| limit.allows(count, 0));

    assert_eq!(allowed, [true, true, false]);
}

#[test]
fn vm_with_little_memory_still_serves() {
    let limit = RequestLimit::of_memory(Some(16 * MEGABYTE));

    assert!(limit.allows(32, 0));
    assert!(!limit.allows(33, 0));
}

#[test]
fn vm_without_a_memory_limit_refuses_nothing() {
    let limit = RequestLimit::of_memory(None);

    assert!(limit.allows(usize::MAX, 0));
}

#[test]
fn requests_and_their_bodies_share_the_memory() {
    let limit = RequestLimit::of_memory(Some(88 * MEGABYTE));

    let allowed = [0, 20, 24].map(|held| limit.allows(500, held * MEGABYTE));

    assert_eq!(allowed, [true, false, false]);
}

#[test]
fn bodies_leave_half_of_the_memory_to_new_requests() {
    let limit = RequestLimit::of_memory(Some(88 * MEGABYTE));

    let max_held_bytes = [0, 300, 600, 768].map(|count| limit.max_held_bytes(count) / 1_024);

    assert_eq!(max_held_bytes, [24_576, 24_576, 10_752, 0]);
}
