use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::origin_batch::{
    MAX_BATCH_STREAMS, OriginBatch, stored_stream_key,
};
use sassafrashoist_core::gateway::origin_outbox::{OriginOutbox, batch_interval, rewrite_interval};
use sassafrashoist_core::gateway::stream_origins::StreamOrigin;

const START: Uptime = Duration::from_secs(100);
const REWRITE_INTERVAL: Duration = Duration::from_secs(10);
const LATER: Uptime = Duration::from_secs(101);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        pool_id: "engines".to_owned(),
        server_id: "server-1".to_owned(),
        started_at_unix_ms: 7,
        software_version: version.to_owned(),
        account_id: None,
    }
}

fn outbox_with(count: usize) -> OriginOutbox {
    let mut outbox = OriginOutbox::default();
    for number in 0..count {
        outbox.record_begun(stored_stream_key(&format!("d{number}"), None), origin("v1"));
    }
    outbox
}

fn due_count(outbox: &mut OriginOutbox, now: Uptime) -> usize {
    outbox.due_batch(REWRITE_INTERVAL, now).streams().len()
}

fn store(outbox: &mut OriginOutbox, now: Uptime) -> OriginBatch {
    let batch = outbox.due_batch(REWRITE_INTERVAL, now);
    outbox.record_stored(&batch, now);
    batch
}

#[test]
fn a_stream_that_goes_on_is_written_again_before_its_record_is_deleted() {
    let mut outbox = outbox_with(1);

    let first = store(&mut outbox, START);
    let soon = due_count(&mut outbox, START + REWRITE_INTERVAL / 2);
    let again = store(&mut outbox, START + REWRITE_INTERVAL);

    assert_eq!((first.streams().len(), soon, again.streams().len()), (1, 0, 1));
}

#[test]
fn a_stream_that_ended_completely_is_not_written() {
    let mut outbox = outbox_with(1);
    outbox.record_ended(stored_stream_key("d0", None), true, START);

    assert_eq!((due_count(&mut outbox, LATER), outbox.len()), (0, 0));
}

#[test]
fn a_broken_stream_is_written_once_also_after_failures() {
    let mut outbox = outbox_with(1);
    outbox.record_ended(stored_stream_key("d0", None), false, START);

    let failed = due_count(&mut outbox, START);
    let stored = store(&mut outbox, LATER);
    let after = due_count(&mut outbox, LATER + REWRITE_INTERVAL);

    assert_eq!((failed, stored.streams().len(), after, outbox.len()), (1, 1, 0, 0));
}

#[test]
fn a_broken_stream_that_was_never_written_is_removed_after_a_time() {
    let mut outbox = outbox_with(1);
    outbox.record_ended(stored_stream_key("d0", None), false, START);

    assert_eq!(due_count(&mut outbox, START + Duration::from_secs(61)), 0);
    assert!(outbox.is_empty());
}

#[test]
fn a_stream_that_two_responses_forward_is_over_when_both_have_ended() {
    let mut outbox = outbox_with(1);
    let key = stored_stream_key("d0", None);
    outbox.record_begun(key, origin("v1"));

    outbox.record_ended(key, false, START);
    store(&mut outbox, START);
    let left = outbox.len();
    outbox.record_ended(key, true, LATER);

    assert_eq!((left, outbox.len()), (1, 0));
}

#[test]
fn a_stream_that_breaks_off_while_its_batch_is_written_is_removed_afterwards() {
    let mut outbox = outbox_with(1);

    let batch = outbox.due_batch(REWRITE_INTERVAL, START);
    outbox.record_ended(stored_stream_key("d0", None), false, START);
    outbox.record_stored(&batch, START);

    assert!(outbox.is_empty());
}

#[test]
fn streams_that_do_not_fit_into_a_batch_are_in_the_next_one() {
    let mut outbox = outbox_with(MAX_BATCH_STREAMS + 1);

    let counts = [START, LATER].map(|now| store(&mut outbox, now).streams().len());

    assert_eq!(counts, [MAX_BATCH_STREAMS, 1]);
}

#[test]
fn batches_of_a_large_fleet_take_a_bounded_share_of_the_appends() {
    for (vm_count, max_batches_per_s) in [(1, 5.0), (8, 36.0), (86, 112.0), (340, 112.0)] {
        for random in [0.0, 0.5, 1.0] {
            let interval = batch_interval(vm_count, random);

            assert!(vm_count as f64 / interval.as_secs_f64() <= max_batches_per_s, "{vm_count}");
            assert!(interval <= Duration::from_secs(4), "{vm_count}");
        }
    }
}

// A VM that reads the topic regularly removes what it has read after 60 s.
#[test]
fn origins_are_written_again_before_the_log_service_or_a_reader_removes_them() {
    for log_keep_time in [Duration::from_secs(4), Duration::from_secs(20), Duration::from_secs(300)]
    {
        let interval = rewrite_interval(log_keep_time);

        assert!(interval <= log_keep_time / 2 && interval <= Duration::from_secs(30));
    }
}
