//! Tests of the records with the origins of streams that VMs write to the log.

use sassafrashoist_core::gateway::origin_batch::{OriginBatch, stored_stream_key};
use sassafrashoist_core::gateway::stream_origins::StreamOrigin;

/// The most bytes a second that control takes at a VM.
const MAX_CONTROL_BYTES_PER_S: f64 = 14_000.0;
/// The requests a second of each VM at the target size.
const STREAMS_PER_S: f64 = 1_300.0 / 340.0;

fn batch(prefix: &str, stream_count: usize) -> OriginBatch {
    let mut batch = OriginBatch::default();
    for number in 0..stream_count {
        let origin = StreamOrigin {
            pool_id: "assistant-pool".to_owned(),
            server_id: format!("i-{number:08x}"),
            started_at_unix_ms: 1_700_000_000_000,
            software_version: format!("v{}", number % 2),
            account_id: None,
        };
        let key = stored_stream_key(&format!("{prefix}{number:08x}"), Some("workshop"));
        assert!(batch.try_push(key, &origin));
    }
    batch
}

#[test]
fn origins_take_a_tenth_of_the_bytes_for_control_at_the_target_size() {
    let interval_s = 3.4;
    let stream_count = (STREAMS_PER_S * interval_s).ceil() as usize;

    let bytes = postcard::to_stdvec(&batch("9c41d07b", stream_count)).unwrap().len();

    let bytes_per_s = bytes as f64 / interval_s;
    assert!(bytes_per_s < MAX_CONTROL_BYTES_PER_S / 10.0, "{bytes_per_s}");
}

#[test]
fn batches_are_decoded_as_they_were_encoded() {
    for stream_count in [0, 1, 24] {
        let batch = batch("9c41d07b", stream_count);

        let decoded: OriginBatch =
            postcard::from_bytes(&postcard::to_stdvec(&batch).unwrap()).unwrap();

        assert_eq!(decoded, batch);
    }
}

// Records of another build or another writer may hold any bytes.
#[test]
fn odd_bytes_are_no_batch_and_a_place_that_is_missing_is_no_origin() {
    for bytes in [&b""[..], b"\xff", b"\xff\xff\xff\xff\x0f", b"\x00\x01\x05"] {
        assert!(postcard::from_bytes::<OriginBatch>(bytes).is_err(), "{bytes:?}");
    }
    let without_places = b"\x00\x01\x05\x06\x07";

    let batch: OriginBatch = postcard::from_bytes(without_places).unwrap();

    assert_eq!(batch.place(&batch.streams()[0]), None);
}
