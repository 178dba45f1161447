use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::origin_batch::{OriginBatch, stored_stream_key};
use sassafrashoist_core::gateway::server_listing::ServerListing;
use sassafrashoist_core::gateway::stored_origins::StoredOrigins;
use sassafrashoist_core::gateway::stream_origins::StreamOrigin;

const START: Uptime = Duration::from_secs(100);

fn origin(server_id: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        pool_id: "engines".to_owned(),
        server_id: server_id.to_owned(),
        started_at_unix_ms: 7,
        software_version: version.to_owned(),
        account_id: None,
    }
}

fn listing(server_id: &str, version: &str) -> ServerListing {
    ServerListing {
        id: server_id.to_owned(),
        pool_id: "engines".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre_id: "plateau".to_owned(),
        slot_count: 8,
        is_draining: false,
        started_at_unix_ms: 7,
        software_version: version.to_owned(),
    }
}

fn batch(streams: &[(&str, &str)]) -> OriginBatch {
    let mut batch = OriginBatch::default();
    for (id, version) in streams {
        assert!(batch.try_push(stored_stream_key(id, Some("workshop")), &origin("s1", version)));
    }
    batch
}

fn version_of(origins: &StoredOrigins, id: &str, account_id: Option<&str>) -> Option<String> {
    let found = origins.find(stored_stream_key(id, account_id))?;
    Some(found.place.software_version)
}

#[test]
fn streams_are_found_by_their_first_attempt_and_their_account() {
    let mut origins = StoredOrigins::default();
    origins.add(batch(&[("d1", "v1"), ("d2", "v2")]), START);
    origins.add(batch(&[("d3", "v1")]), START);

    let account = Some("workshop");
    let versions = ["d1", "d2", "d3", "d4"].map(|id| version_of(&origins, id, account));

    let expected = [Some("v1"), Some("v2"), Some("v1"), None];
    assert_eq!(versions, expected.map(|version| version.map(str::to_owned)));
    assert_eq!(version_of(&origins, "d1", Some("other")), None);
    assert_eq!(version_of(&origins, "d1", None), None);
}

#[test]
fn a_stream_with_two_origins_is_not_guessed() {
    let mut origins = StoredOrigins::default();
    origins.add(batch(&[("d1", "v1"), ("d2", "v1")]), START);
    origins.add(batch(&[("d1", "v2"), ("d2", "v1")]), START);

    let versions = ["d1", "d2"].map(|id| version_of(&origins, id, Some("workshop")));

    assert_eq!(versions, [None, Some("v1".to_owned())]);
}

#[test]
fn an_origin_is_doubtful_if_its_server_is_listed_with_another_version() {
    let mut origins = StoredOrigins::default();
    origins.add(batch(&[("d1", "v1")]), START);
    let found = origins.find(stored_stream_key("d1", Some("workshop"))).unwrap();
    let is_doubtful = |listings: &[ServerListing]| found.is_doubtful(listings.iter());

    assert!(is_doubtful(&[listing("s2", "v1"), listing("s1", "v2")]));
    assert!(!is_doubtful(&[listing("s1", "v1"), listing("s2", "v2")]));
    assert!(!is_doubtful(&[listing("s2", "v2")]));
}

#[test]
fn old_batches_are_removed_and_the_oldest_when_there_are_too_many_streams() {
    let ids: Vec<String> = (0..4_000).map(|number| format!("d{number}")).collect();
    let streams: Vec<_> = ids.iter().map(|id| (id.as_str(), "v1")).collect();
    let mut origins = StoredOrigins::default();
    for _ in 0..20 {
        origins.add(batch(&streams), START);
    }
    let count_at_bound = origins.len();
    origins.add(batch(&[("later", "v1")]), START + Duration::from_secs(60));

    assert_eq!((count_at_bound, origins.len()), (64_000, 1));
}
