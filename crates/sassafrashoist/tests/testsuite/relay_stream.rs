use std::time::Duration;

use sassafrashoist::core::relay_messages::{RelayAnswer, RelayCall};
use sassafrashoist::core::relay_stream::RelayStream;
use sassafrashoist_core::ids::Timestamp;
use sassafrashoist_platform::wire::{LogRecord, RecordPage};

const HEARD_AT: Timestamp = Duration::from_secs(100);

fn page(offsets: std::ops::Range<u64>) -> RecordPage {
    let end_offset = offsets.end;
    let records = offsets.map(|offset| LogRecord { offset, payload: vec![offset as u8] }).collect();
    RecordPage { records, earliest_offset: 0, end_offset }
}

fn call(from_offset: u64) -> RelayCall {
    RelayCall { stream: "s".into(), from_offset, max_count: 2, wait: Duration::ZERO }
}

fn stream_of(offsets: std::ops::Range<u64>) -> RelayStream {
    let mut stream = RelayStream::default();
    stream.store(offsets.start, &page(offsets), None, HEARD_AT);
    stream
}

#[test]
fn relay_stream_answers_with_the_age_of_what_it_knows() {
    let stream = stream_of(5..9);

    let answer = stream.answer(&call(6), HEARD_AT + Duration::from_secs(1));

    let RelayAnswer::Page { records, end_offset, age, .. } = answer else { panic!("{answer:?}") };
    assert_eq!(records.iter().map(|record| record.offset).collect::<Vec<_>>(), [6, 7]);
    assert_eq!((end_offset, age), (9, Duration::from_secs(1)));
}

#[test]
fn relay_stream_is_quiet_when_the_platform_was_not_heard_for_long() {
    let stream = stream_of(5..9);

    let answer = stream.answer(&call(6), HEARD_AT + Duration::from_secs(3));

    assert_eq!(answer, RelayAnswer::Quiet);
}

#[test]
fn relay_stream_does_not_answer_for_offsets_that_it_does_not_hold() {
    let stream = stream_of(5..9);

    let answers = [4, 10].map(|from_offset| stream.answer(&call(from_offset), HEARD_AT));

    assert_eq!(answers, [RelayAnswer::NotHeld, RelayAnswer::NotHeld]);
}

#[test]
fn relay_stream_starts_again_after_a_gap() {
    let mut stream = stream_of(5..9);

    stream.store(20, &page(20..22), None, HEARD_AT);

    assert_eq!(stream.answer(&call(6), HEARD_AT), RelayAnswer::NotHeld);
    assert!(matches!(stream.answer(&call(20), HEARD_AT), RelayAnswer::Page { .. }));
}
