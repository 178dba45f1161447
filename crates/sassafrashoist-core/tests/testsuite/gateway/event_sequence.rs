use proptest::prelude::*;
use sassafrashoist_core::event_splitter::{EventSplitter, StreamEvent};
use sassafrashoist_core::gateway::event_sequence::{EventCheck, EventSequence};

fn event(text: &str) -> StreamEvent {
    let mut splitter = EventSplitter::default();
    splitter.push(text.as_bytes());
    splitter.next_event().unwrap()
}

fn numbered(id: u64) -> StreamEvent {
    event(&format!("id: {id}\ndata: x\n\n"))
}

fn sequence_of(ids: &[u64]) -> EventSequence {
    let mut sequence = EventSequence::default();
    for id in ids {
        assert_eq!(sequence.check(&numbered(*id)), EventCheck::Forward);
    }
    sequence
}

fn is_foreign(check: EventCheck) -> bool {
    matches!(check, EventCheck::Foreign(_))
}

#[test]
fn continuation_goes_on_with_the_next_event() {
    let mut sequence = sequence_of(&[1, 2]);

    sequence.begin_segment();
    let comment = sequence.check(&event(": resumed\n\n"));
    let next = sequence.check(&numbered(3));
    let later = sequence.check(&event("data: without an id\n\n"));

    assert_eq!([comment, next, later], [EventCheck::Forward; 3]);
    assert_eq!(sequence.last_id(), Some("3"));
}

#[test]
fn continuation_that_begins_earlier_or_skips_is_foreign() {
    for (ids, next) in [(vec![1, 2], 1), (vec![1, 2], 2), (vec![1, 2], 4), (vec![5, 10], 10)] {
        let mut sequence = sequence_of(&ids);

        sequence.begin_segment();

        assert!(is_foreign(sequence.check(&numbered(next))), "{ids:?} {next}");
    }
}

// The ids of a stream increase, but need not be consecutive.
#[test]
fn continuation_of_a_stream_with_gaps_may_have_gaps() {
    for ids in [vec![5, 10], vec![1, 2, 4], vec![0, 1, 2]] {
        let mut sequence = sequence_of(&ids);

        sequence.begin_segment();

        assert_eq!(sequence.check(&numbered(20)), EventCheck::Forward, "{ids:?}");
    }
}

#[test]
fn error_in_place_of_a_continuation_is_foreign() {
    for text in ["event: error\ndata: overloaded\n\n", "overloaded\n\n", "{\"error\":3}\n\n"] {
        let mut sequence = sequence_of(&[1, 2]);

        sequence.begin_segment();

        assert!(is_foreign(sequence.check(&event(text))), "{text}");
    }
}

#[test]
fn response_head_is_foreign_anywhere_in_a_stream() {
    let head = event("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nerror");

    assert!(is_foreign(EventSequence::default().check(&head)));
    assert!(is_foreign(sequence_of(&[1, 2]).check(&head)));
}

#[test]
fn stream_that_its_caller_resumes_goes_on_after_the_callers_last_event() {
    let resumed = EventSequence::new(Some("2".to_owned()));

    assert!(is_foreign(resumed.clone().check(&numbered(1))));
    assert!(is_foreign(resumed.clone().check(&numbered(2))));
    assert_eq!(resumed.clone().check(&numbered(3)), EventCheck::Forward);
    assert_eq!(resumed.clone().check(&numbered(7)), EventCheck::Forward);
}

#[test]
fn repeated_event_of_one_server_is_a_duplicate() {
    let mut sequence = sequence_of(&[1, 2]);

    assert_eq!(sequence.check(&numbered(2)), EventCheck::Duplicate);
    assert_eq!(sequence.check(&numbered(3)), EventCheck::Forward);
}

proptest! {
    // Whatever the servers send, the ids that are forwarded increase.
    #[test]
    fn forwarded_ids_increase(segments in proptest::collection::vec(
        proptest::collection::vec(prop_oneof![0..12_u64, any::<u64>()], 0..8), 1..4
    )) {
        let mut sequence = EventSequence::default();
        let mut forwarded = Vec::new();

        for segment in segments {
            sequence.begin_segment();
            for id in segment {
                match sequence.check(&numbered(id)) {
                    EventCheck::Forward => forwarded.push(id),
                    EventCheck::Duplicate => {}
                    EventCheck::Foreign(_) => break,
                }
            }
        }

        prop_assert!(forwarded.is_sorted_by(|left, right| left < right), "{:?}", forwarded);
    }
}
