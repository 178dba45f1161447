//! Tests of datagrams and messages that another VM would not send.

use std::fmt::Debug;

use proptest::prelude::*;
use sassafrashoist::gateway::crash_messages::{TrialEnd, TrialRequest, TrialResponse};
use sassafrashoist::gateway::peer_datagram::{MAX_DATAGRAM_BYTES, PeerDatagram};
use sassafrashoist::gateway::peer_messages::{
    TokenTransferRequest, TokenTransferResponse, UnrequestedTransfer,
};
use sassafrashoist::gateway::permit_messages::{LimitNotice, PermitOutcome, PermitRequest};
use sassafrashoist::gateway::relay_messages::{RelayOutcome, RelayRequest};
use sassafrashoist::gateway::stream_origin_messages::{KeptOrigin, StreamOriginRequest};
use sassafrashoist_core::gateway::crash_report::CrashReport;
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use serde::de::DeserializeOwned;

/// The encoding of the largest length.
const LARGEST_LENGTH: [u8; 10] = [255, 255, 255, 255, 255, 255, 255, 255, 255, 1];

fn decode<T: DeserializeOwned + Debug>(data: &[u8]) -> bool {
    postcard::from_bytes::<T>(data).is_ok()
}

/// Decodes bytes as each kind of message; returns how many of them they could be.
fn decode_all(data: &[u8]) -> usize {
    let decoded = [
        decode::<PeerDatagram>(data),
        decode::<CrashReport>(data),
        decode::<HolderRecord>(data),
        decode::<KeptOrigin>(data),
        decode::<LimitNotice>(data),
        decode::<PermitOutcome>(data),
        decode::<PermitRequest>(data),
        decode::<RelayOutcome>(data),
        decode::<RelayRequest>(data),
        decode::<StreamOriginRequest>(data),
        decode::<TokenTransferRequest>(data),
        decode::<TokenTransferResponse>(data),
        decode::<TrialEnd>(data),
        decode::<TrialRequest>(data),
        decode::<TrialResponse>(data),
        decode::<UnrequestedTransfer>(data),
    ];
    decoded.into_iter().filter(|is_decoded| *is_decoded).count()
}

// A length is not to be believed before the bytes are there: 16 EiB would end the process.
#[test]
fn length_beyond_the_end_of_a_message_is_an_error() {
    for variant in 0..5 {
        for filler_count in 0..40 {
            let fillers = std::iter::repeat_n(0, filler_count);
            let message: Vec<u8> =
                std::iter::once(variant).chain(fillers).chain(LARGEST_LENGTH).collect();

            decode_all(&message);
        }
        assert!(!decode::<CrashReport>(&LARGEST_LENGTH));
        assert!(!decode::<UnrequestedTransfer>(&LARGEST_LENGTH));
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_cause_a_panic(
        data in proptest::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES),
        position in 0..MAX_DATAGRAM_BYTES,
    ) {
        decode_all(&data);
        let (start, end) = data.split_at(position.min(data.len()));
        decode_all(&[start, &LARGEST_LENGTH, end].concat());
    }
}
