use std::time::Duration;

use sassafrashoist_core::gateway::stream_origins::{StreamOrigin, StreamOrigins, stream_key};

const START: Duration = Duration::from_secs(100);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        pool_id: "engines".to_owned(),
        server_id: "server-1".to_owned(),
        started_at_unix_ms: 7,
        software_version: version.to_owned(),
        account_id: Some("workshop".to_owned()),
    }
}

#[test]
fn the_origin_of_a_stream_does_not_change() {
    let mut origins = StreamOrigins::default();
    origins.record(stream_key("d1"), origin("v1"), START);
    origins.record(stream_key("d1"), origin("v2"), START);

    let found = origins.find(stream_key("d1"), Some("workshop"));

    assert_eq!(found, Some(&(START, origin("v1"))));
}

#[test]
fn a_stream_of_another_account_is_not_found() {
    let mut origins = StreamOrigins::default();
    origins.record(stream_key("d1"), origin("v1"), START);

    assert_eq!(origins.find(stream_key("d1"), Some("other")), None);
    assert_eq!(origins.find(stream_key("d1"), None), None);
    assert_eq!(origins.find(stream_key("d2"), Some("workshop")), None);
}

#[test]
fn old_origins_are_removed_and_the_oldest_when_there_are_too_many() {
    let mut origins = StreamOrigins::default();
    for number in 0..40_000 {
        origins.record(stream_key(&format!("d{number}")), origin("v1"), START);
    }
    let count_at_bound = origins.len();
    let newest = origins.find(stream_key("d39999"), Some("workshop")).is_some();
    origins.record(stream_key("later"), origin("v1"), START + Duration::from_secs(60));

    assert_eq!((count_at_bound, newest, origins.len()), (32_768, true, 1));
}
