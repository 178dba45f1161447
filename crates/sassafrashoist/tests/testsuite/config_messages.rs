//! Tests of the messages about the configuration between VMs.

use proptest::prelude::*;
use sassafrashoist::gateway::config_messages::{ConfigRequest, ConfigResponse};
use sassafrashoist::gateway::peer_datagram::{MAX_DATAGRAM_BYTES, PeerDatagram};
use sassafrashoist::gateway::send_message::MAX_MESSAGE_BYTES;
use sassafrashoist_core::gateway::config_announcement::ConfigAnnouncement;
use sassafrashoist_core::gateway::document_delta::{ChunkedDocument, MAX_CHUNK_HASHES};

fn document() -> ChunkedDocument {
    let routes: String = (0..9_000).map(|index| format!("{{\"route\":{index:064}}}")).collect();
    ChunkedDocument::new(routes.into())
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let document = document();

        let _ = postcard::from_bytes::<ConfigRequest>(&bytes);
        let response = postcard::from_bytes::<ConfigResponse>(&bytes);

        if let Ok(ConfigResponse::Document { delta, .. }) = response {
            prop_assert!(document.apply(&delta).is_err());
        }
    }

    #[test]
    fn damaged_response_is_refused_or_yields_the_document(
        position in 0_usize..1_000, byte in any::<u8>(), length in 0_usize..1_000,
    ) {
        let old = document();
        let new = ChunkedDocument::new(old.bytes().slice(500..));
        let delta = new.delta_to(&old.chunk_hashes(), 600_000).unwrap();
        let response = ConfigResponse::Document { version: 8, delta };
        let mut bytes = postcard::to_stdvec(&response).unwrap();
        let end = bytes.len() - 1;
        bytes[position.min(end)] = byte;
        bytes.truncate(bytes.len().saturating_sub(length / 10));

        let response = postcard::from_bytes::<ConfigResponse>(&bytes);

        if let Ok(ConfigResponse::Document { delta, .. }) = response {
            let received = old.apply(&delta);
            prop_assert!(received.is_err() || received.unwrap().bytes() == new.bytes());
        }
    }
}

#[test]
fn longest_request_fits_into_a_message() {
    let chunk_hashes = document().chunk_hashes();
    assert_eq!(chunk_hashes.len(), MAX_CHUNK_HASHES);

    let request = ConfigRequest { version: u64::MAX, chunk_hashes };

    assert!(postcard::to_stdvec(&request).unwrap().len() <= MAX_MESSAGE_BYTES);
}

// VMs of before know the first variants only, and log and drop a datagram of another one.
#[test]
fn announcement_is_the_last_variant_and_fits_into_a_datagram() {
    let announcement = ConfigAnnouncement {
        version: u64::MAX,
        document_hash: u64::MAX,
        known_ago: std::time::Duration::from_secs(2),
    };

    let datagram = postcard::to_stdvec(&PeerDatagram::ConfigAnnounced(announcement)).unwrap();

    assert_eq!(datagram[0], 5);
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
}
