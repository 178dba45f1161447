use bytes::Bytes;
use proptest::prelude::*;
use sassafrashoist_core::gateway::document_delta::{
    ChunkedDocument, DeltaError, DeltaPart, DocumentDelta, MAX_CHUNK_HASHES, MAX_DOCUMENT_BYTES,
};

const NO_LIMIT: usize = usize::MAX;

fn routes(count: usize, changed: Option<usize>) -> ChunkedDocument {
    let route = |index: usize| {
        let timeout_ms = if changed == Some(index) { 4_321 } else { 5_000 };
        format!(
            r#"{{"name":"route-{index}","hostname":"host-{index}.example","pathPrefix":"/{index}/",
            "timeoutMs":{timeout_ms},"backend":"pool-{}","public":false}}"#,
            index % 28
        )
    };
    let routes: Vec<_> = (0..count).map(route).collect();
    ChunkedDocument::new(format!(r#"{{"version":7,"routes":[{}]}}"#, routes.join(",")).into())
}

/// Bytes in which chunks end often, and some chunks repeat.
fn documents() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        4 => proptest::collection::vec(any::<u8>(), 0..200),
        4 => (0_u8..4, 60_usize..140).prop_map(|(byte, length)| {
            let mut piece = vec![byte; length];
            piece.push(b'}');
            piece
        }),
        1 => (0_u8..2, 0_usize..5_000).prop_map(|(byte, length)| vec![byte; length]),
    ];
    proptest::collection::vec(piece, 0..40).prop_map(|pieces| pieces.concat())
}

fn parts() -> impl Strategy<Value = DeltaPart> {
    prop_oneof![
        (any::<u32>(), any::<u32>()).prop_map(|(first, count)| DeltaPart::Chunks { first, count }),
        (0_u32..8, 0_u32..8).prop_map(|(first, count)| DeltaPart::Chunks { first, count }),
        proptest::collection::vec(any::<u8>(), 0..50).prop_map(DeltaPart::Literal),
    ]
}

proptest! {
    #[test]
    fn delta_between_any_two_documents_yields_the_second(old in documents(), new in documents()) {
        let (old, new) = (ChunkedDocument::new(old.into()), ChunkedDocument::new(new.into()));

        let delta = new.delta_to(&old.chunk_hashes(), NO_LIMIT).unwrap();
        let received = old.apply(&delta).unwrap();

        prop_assert_eq!(received.bytes(), new.bytes());
        prop_assert_eq!(received.hash(), new.hash());
    }

    #[test]
    fn delta_for_another_document_is_detected(
        old in documents(), other in documents(), new in documents()
    ) {
        let new = ChunkedDocument::new(new.into());
        let delta = new.delta_to(&ChunkedDocument::new(old.into()).chunk_hashes(), NO_LIMIT).unwrap();

        let received = ChunkedDocument::new(other.into()).apply(&delta);

        prop_assert!(received.is_err() || received.unwrap().bytes() == new.bytes());
    }

    #[test]
    fn malformed_delta_is_an_error(
        old in documents(),
        document_hash in any::<u64>(),
        parts in proptest::collection::vec(parts(), 1..20),
    ) {
        let old = ChunkedDocument::new(old.into());

        let received = old.apply(&DocumentDelta { document_hash, parts });

        prop_assert!(received.is_err());
    }

    #[test]
    fn delta_stays_within_its_limit(
        old in documents(), new in documents(), max_bytes in 0_usize..20_000
    ) {
        let (old, new) = (ChunkedDocument::new(old.into()), ChunkedDocument::new(new.into()));

        let delta = new.delta_to(&old.chunk_hashes(), max_bytes);

        let literal_bytes = delta.iter().flat_map(|delta| &delta.parts).map(|part| match part {
            DeltaPart::Chunks { .. } => 0,
            DeltaPart::Literal(bytes) => bytes.len(),
        });
        prop_assert!(literal_bytes.sum::<usize>() <= max_bytes);
    }
}

#[test]
fn one_changed_route_of_many_takes_few_bytes() {
    let (old, new) = (routes(1_430, None), routes(1_430, Some(700)));

    let delta = new.delta_to(&old.chunk_hashes(), NO_LIMIT).unwrap();

    assert_eq!(delta.parts.len(), 3, "{delta:?}");
    assert!(old.chunk_hashes().len() <= 1_432);
}

#[test]
fn document_with_more_chunks_than_are_sent_is_received() {
    let (old, new) = (routes(9_000, None), routes(9_000, Some(3)));

    let hashes = old.chunk_hashes();
    let delta = new.delta_to(&hashes, NO_LIMIT).unwrap();

    assert_eq!(hashes.len(), MAX_CHUNK_HASHES);
    assert_eq!(old.apply(&delta).unwrap().bytes(), new.bytes());
}

// A message of a few bytes could otherwise describe a document of any length.
#[test]
fn delta_that_repeats_chunks_without_end_is_refused() {
    let old = ChunkedDocument::new(Bytes::from(vec![b'x'; 1_024 * 1_024]));
    let count = old.chunk_hashes().len() as u32;
    let parts = vec![DeltaPart::Chunks { first: 0, count }; MAX_DOCUMENT_BYTES / 1_000_000 + 2];

    let received = old.apply(&DocumentDelta { document_hash: 1, parts });

    assert_eq!(received.err(), Some(DeltaError::TooLong));
}
