use std::time::Duration;

use sassafrashoist::core::relay_messages::{RelayRequest, RelayResponse};
use sassafrashoist::core::relay_stream::RelayStream;
use sassafrashoist_core::ids::Timestamp;
use sassafrashoist_platform::wire::{LogRecord, RecordPage};

const CONTACT_AT: Timestamp = Duration::from_secs(100);

fn page(offsets: std::ops::Range<u64>) -> RecordPage {
    let end_offset = offsets.end;
    let records = offsets.map(|offset| LogRecord { offset, payload: vec![offset as u8] }).collect();
    RecordPage { records, earliest_offset: 0, end_offset }
}

fn request(from_offset: u64) -> RelayRequest {
    RelayRequest {
        stream: "s".into(),
        from_offset,
        max_count: 2,
        wait: Duration::ZERO,
        accepts_stale: false,
    }
}

fn stream_of(offsets: std::ops::Range<u64>) -> RelayStream {
    let mut stream = RelayStream::default();
    stream.store(offsets.start, &page(offsets), None, CONTACT_AT);
    stream
}

#[test]
fn relay_stream_responds_with_the_age_of_its_last_contact() {
    let stream = stream_of(5..9);

    let response = stream.respond(&request(6), CONTACT_AT + Duration::from_secs(1));

    let RelayResponse::Page { records, end_offset, age, .. } = response else {
        panic!("{response:?}")
    };
    assert_eq!(records.iter().map(|record| record.offset).collect::<Vec<_>>(), [6, 7]);
    assert_eq!((end_offset, age), (9, Duration::from_secs(1)));
}

#[test]
fn relay_stream_is_stale_when_the_last_contact_with_the_platform_is_too_old() {
    let stream = stream_of(5..9);

    let response = stream.respond(&request(6), CONTACT_AT + Duration::from_secs(3));

    assert_eq!(response, RelayResponse::Stale);
}

#[test]
fn relay_stream_sends_stale_records_when_the_request_accepts_them() {
    let stream = stream_of(5..9);
    let stale_accepting = RelayRequest { accepts_stale: true, ..request(6) };

    let response = stream.respond(&stale_accepting, CONTACT_AT + Duration::from_secs(60));

    let RelayResponse::Page { age, .. } = response else { panic!("{response:?}") };
    assert_eq!(age, Duration::from_secs(60));
}

#[test]
fn relay_stream_sends_no_records_for_offsets_that_it_does_not_hold() {
    let stream = stream_of(5..9);

    let responses = [4, 10].map(|from_offset| stream.respond(&request(from_offset), CONTACT_AT));

    assert_eq!(responses, [RelayResponse::NotHeld, RelayResponse::NotHeld]);
}

#[test]
fn relay_stream_discards_older_records_after_a_gap() {
    let mut stream = stream_of(5..9);

    stream.store(20, &page(20..22), None, CONTACT_AT);

    assert_eq!(stream.respond(&request(6), CONTACT_AT), RelayResponse::NotHeld);
    assert!(matches!(stream.respond(&request(20), CONTACT_AT), RelayResponse::Page { .. }));
}
