//! Tests of what VMs of another build read and write: the encodings of datagrams, messages and
//! ledger records, as the builds before wrote them.

use std::fmt::Debug;
use std::time::Duration;

use sassafrashoist::gateway::crash_messages::{TrialEnd, TrialRequest, TrialResponse};
use sassafrashoist::gateway::peer_datagram::PeerDatagram;
use sassafrashoist::gateway::peer_messages::{
    TokenTransferRequest, TokenTransferResponse, UnrequestedTransfer,
};
use sassafrashoist::gateway::permit_messages::{
    ColdServer, LimitNotice, LimitedServer, PermitOutcome, PermitRequest, PermitResponse,
};
use sassafrashoist::gateway::relay_messages::{RelayOutcome, RelayPurpose, RelayRequest};
use sassafrashoist::gateway::share_rejections::{BrittleEnd, ServerRejects};
use sassafrashoist::gateway::stream_origin_messages::{
    KeptOrigin, StreamBegun, StreamOriginRequest,
};
use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::config_announcement::ConfigAnnouncement;
use sassafrashoist_core::gateway::crash_report::{
    BlamedPart, ClearedParts, ClearedSuspect, CrashReport, SeenCrash, SeenPartCrash,
};
use sassafrashoist_core::gateway::crash_trials::TrialSubject;
use sassafrashoist_core::gateway::evacuations::{OrderState, OrdersAnnouncement, OrdersPosition};
use sassafrashoist_core::gateway::holder_record::{HeldTokens, HolderRecord};
use sassafrashoist_core::gateway::spending_limit::SpendingLimit;
use sassafrashoist_core::gateway::stream_origins::StreamOrigin;
use sassafrashoist_core::requests::quarantine::RequestFingerprint;
use sassafrashoist_core::routing::server_limit::LimitReport;
use serde::Serialize;
use serde::de::DeserializeOwned;

const HOLDER: &str = "vm-1.7";
const ACCOUNT: &str = "workshop";
const SERVER: &str = "engine-1";
const STARTED_AT_UNIX_MS: u64 = 1_700_000_000_123;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digit = |position: usize| u8::from_str_radix(&text[position..position + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digit).collect()
}

/// Requires that a value is written as the build before wrote it, and that what it wrote is read.
#[track_caller]
fn assert_encoding<T>(value: &T, written_before: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written = postcard::to_stdvec(value).unwrap();
    let read: Result<T, _> = postcard::from_bytes(&from_hex(written_before));

    assert_eq!(hex(&written), written_before, "{value:?}");
    assert_eq!(read.as_ref(), Ok(value));
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn origin() -> StreamOrigin {
    StreamOrigin {
        pool_id: "llm".to_owned(),
        server_id: SERVER.to_owned(),
        started_at_unix_ms: STARTED_AT_UNIX_MS,
        software_version: "v1".to_owned(),
        account_id: Some(ACCOUNT.to_owned()),
    }
}

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint { account_id: ACCOUNT.to_owned(), body_hash: 1 << 100 }
}

fn crash_report() -> CrashReport {
    CrashReport {
        crashes: vec![SeenCrash {
            fingerprint: fingerprint(),
            server_id: SERVER.to_owned(),
            seen_ago: ms(300),
            ran_for: ms(40),
        }],
        cleared: vec![ClearedSuspect { fingerprint: fingerprint(), cleared_ago: ms(2_000) }],
        part_crashes: vec![SeenPartCrash {
            parts: vec![7, u64::MAX],
            server_id: SERVER.to_owned(),
            seen_ago: ms(300),
            sent_ago: ms(340),
        }],
        cleared_parts: vec![ClearedParts { parts: vec![9], sent_ago: ms(500) }],
        blamed_parts: vec![BlamedPart { part: 7, blamed_ago: ms(100) }],
        parts_going_on: vec![11],
    }
}

fn limit() -> LimitReport {
    LimitReport { per_s: Some(12.5), sent_ago: ms(30), received_ago: ms(10) }
}

fn limited_server() -> LimitedServer {
    LimitedServer {
        server_id: SERVER.to_owned(),
        started_at_unix_ms: STARTED_AT_UNIX_MS,
        limit: limit(),
    }
}

fn relay_request(purpose: RelayPurpose) -> RelayRequest {
    RelayRequest {
        holder_id: HOLDER.to_owned(),
        server_id: SERVER.to_owned(),
        started_at_unix_ms: STARTED_AT_UNIX_MS,
        purpose,
    }
}

// An old VM drops a datagram that it cannot read, and would read another one as what it is not.
#[test]
fn datagrams_are_written_and_read_as_before() {
    let begun = StreamBegun { key: 1 << 100, origin: origin() };
    let rejects = ServerRejects {
        server_id: SERVER.to_owned(),
        started_at_unix_ms: STARTED_AT_UNIX_MS,
        max_rejections_per_s: 20,
    };
    let end = BrittleEnd { server_id: SERVER.to_owned(), started_at_unix_ms: STARTED_AT_UNIX_MS };

    assert_encoding(
        &PeerDatagram::StreamBegun(begun),
        "\
         00808080808080808080808080808004036c6c6d08656e67696e652d31fbd095ffbc310276310108\
         776f726b73686f70",
    );
    assert_encoding(
        &PeerDatagram::CrashReport(crash_report()),
        "\
         010108776f726b73686f7080808080808080808080808080800408656e67696e652d31ac02280108\
         776f726b73686f70808080808080808080808080808004d00f010207ffffffffffffffffff010865\
         6e67696e652d31ac02d402010109f403010764010b",
    );
    assert_encoding(&PeerDatagram::CrashDigest(u64::MAX - 1), "02feffffffffffffffff01");
    assert_encoding(&PeerDatagram::ServerRejects(rejects), "0308656e67696e652d31fbd095ffbc3114");
    assert_encoding(&PeerDatagram::BrittleEnd(end), "0408656e67696e652d31fbd095ffbc31");
}

// Tokens in a record that no VM can read are lost until the paid amount grows.
#[test]
fn ledger_records_are_written_and_read_as_before() {
    let held = HeldTokens {
        account_id: ACCOUNT.to_owned(),
        net_drawn_tokens: -1_000,
        received_tokens: 5_000,
        sent_tokens: 300,
        spent_tokens: 2_000,
        spending_limit: SpendingLimit { tokens: 4_000, growth_tokens_per_s: 150 },
        use_tokens_per_s: 120,
    };
    let record = HolderRecord {
        vm_id: "vm-1".to_owned(),
        data_centre_id: "plateau".to_owned(),
        peer_address: "10.1.2.3:9300".parse().unwrap(),
        sequence: 70_000,
        is_closed: true,
        sent_at: ClockReading { since_boot: ms(12_345), since_epoch: ms(STARTED_AT_UNIX_MS) },
        limits_active_for: ms(6_000),
        accounts: vec![held, HeldTokens::default()],
    };
    let over_ipv6 = HolderRecord {
        peer_address: "[fd00::1]:9300".parse().unwrap(),
        accounts: Vec::new(),
        ..record.clone()
    };

    assert_encoding(
        &record,
        "\
         04766d2d3107706c6174656175000a010203d448f0a204010cc090c1a40180e2cfaa06c0a9d33af0\
         2e0208776f726b73686f70cf0f8827ac02d00fa01f9601780000000000000000",
    );
    assert_encoding(
        &over_ipv6,
        "\
         04766d2d3107706c617465617501fd000000000000000000000000000001d448f0a204010cc090c1\
         a40180e2cfaa06c0a9d33af02e00",
    );
}

#[test]
fn messages_about_tokens_are_written_and_read_as_before() {
    let transfer = UnrequestedTransfer {
        transfer_id: (HOLDER.to_owned(), 300),
        holder_id: "vm-2.8".to_owned(),
        sent: vec![(ACCOUNT.to_owned(), 1_000), (String::new(), 0)],
    };
    let request = TokenTransferRequest {
        transfer_id: (HOLDER.to_owned(), 300),
        holder_id: "vm-2.8".to_owned(),
        account_id: ACCOUNT.to_owned(),
        needed_tokens: 50,
        desired_tokens: 2_000,
    };
    let response =
        TokenTransferResponse { sent_tokens: 50, remaining_tokens: -300, spent_tokens: 9_000 };

    assert_encoding(&transfer, "06766d2d312e37ac0206766d2d322e380208776f726b73686f70e8070000");
    assert_encoding(&request, "06766d2d312e37ac0206766d2d322e3808776f726b73686f7032d00f");
    assert_encoding(&response, "32d704a846");
}

#[test]
fn messages_about_permits_are_written_and_read_as_before() {
    let request = PermitRequest { server: limited_server(), priority: 3, max_wait: ms(700) };
    let refused = PermitOutcome::Refused { next_in: ms(200), return_in: ms(1_500) };
    let response = |outcome, limit| PermitResponse { outcome, limit };
    let notice = LimitNotice { server: limited_server(), is_to_be_shared: true };
    let no_limit = LimitReport { per_s: None, ..limit() };

    assert_encoding(&request, "08656e67696e652d31fbd095ffbc310100000000000029401e0a03bc05");
    assert_encoding(&response(PermitOutcome::Issued, Some(limit())), "00010100000000000029401e0a");
    assert_encoding(&response(refused, Some(no_limit)), "01c801dc0b01001e0a");
    assert_encoding(&response(PermitOutcome::NotIssuer, None), "0200");
    assert_encoding(&notice, "08656e67696e652d31fbd095ffbc310100000000000029401e0a01");
}

#[test]
fn messages_about_origins_of_streams_are_written_and_read_as_before() {
    let request = StreamOriginRequest { key: 1 << 100, account_id: Some(ACCOUNT.to_owned()) };
    let without_account = StreamOriginRequest { key: 5, account_id: None };
    let kept = KeptOrigin { origin: origin(), began_ago: ms(4_000) };

    assert_encoding(&request, "8080808080808080808080808080040108776f726b73686f70");
    assert_encoding(&without_account, "0500");
    assert_encoding(
        &Some(kept),
        "\
         01036c6c6d08656e67696e652d31fbd095ffbc310276310108776f726b73686f70a01f",
    );
    assert_encoding(&None::<KeptOrigin>, "00");
}

#[test]
fn messages_about_crashes_are_written_and_read_as_before() {
    let subject = TrialSubject::Request(fingerprint());
    let request = TrialRequest { subject, trial_id: 42, max_time: ms(5_000) };
    let end = TrialEnd {
        subject: TrialSubject::PromptPart(7),
        trial_id: 42,
        result: CrashReport { parts_going_on: vec![11], ..CrashReport::default() },
    };

    assert_encoding(
        &crash_report(),
        "\
         0108776f726b73686f7080808080808080808080808080800408656e67696e652d31ac0228010877\
         6f726b73686f70808080808080808080808080808004d00f010207ffffffffffffffffff0108656e\
         67696e652d31ac02d402010109f403010764010b",
    );
    assert_encoding(&request, "0008776f726b73686f708080808080808080808080808080042a8827");
    assert_encoding(&TrialResponse::Granted, "00");
    assert_encoding(&TrialResponse::Busy, "01");
    assert_encoding(&TrialResponse::Quarantined(ms(30_000)), "02b0ea01");
    assert_encoding(&TrialResponse::NotGrantor, "03");
    assert_encoding(&end, "01072a0000000000010b");
}

#[test]
fn messages_about_relays_are_written_and_read_as_before() {
    let outcomes = [
        RelayOutcome::Reached,
        RelayOutcome::Refused,
        RelayOutcome::Unreachable,
        RelayOutcome::NoPath,
        RelayOutcome::Busy,
        RelayOutcome::UnknownServer,
        RelayOutcome::UnknownSender,
    ];

    assert_encoding(
        &relay_request(RelayPurpose::Probe),
        "06766d2d312e3708656e67696e652d31fbd095ffbc3100",
    );
    assert_encoding(
        &relay_request(RelayPurpose::Carry(ms(5_000))),
        "06766d2d312e3708656e67696e652d31fbd095ffbc31018827",
    );
    assert_encoding(&outcomes.to_vec(), "0700010203040506");
}

// Builds without evacuation orders must go on with the announcements of those that append them, and the
// other way round.
#[test]
fn orders_behind_an_announcement_are_ignored_by_builds_that_do_not_know_them() {
    let announced = PeerDatagram::ConfigAnnounced(ConfigAnnouncement {
        version: 7,
        document_hash: 9,
        known_ago: ms(120),
    });
    let orders = OrdersAnnouncement {
        position: OrdersPosition { era: 1, end: 300 },
        known_ago_ms: 120,
        orders: vec![
            ("plateau".to_owned(), OrderState::InForce),
            ("x".to_owned(), OrderState::Unreadable),
        ],
    };
    let mut datagram = postcard::to_stdvec(&announced).unwrap();
    let without_orders = datagram.clone();
    datagram.extend(postcard::to_stdvec(&orders).unwrap());

    let read_by_older: PeerDatagram = postcard::from_bytes(&datagram).unwrap();
    let (read, rest) = postcard::take_from_bytes::<PeerDatagram>(&datagram).unwrap();
    let (_, rest_of_older) = postcard::take_from_bytes::<PeerDatagram>(&without_orders).unwrap();

    assert_eq!((&read_by_older, &read), (&announced, &announced));
    assert_eq!(postcard::from_bytes::<OrdersAnnouncement>(rest).unwrap(), orders);
    assert!(rest_of_older.is_empty());
    assert_encoding(&orders, "01ac02780207706c617465617500017801");
}

// Issuers of older builds must go on to issue permits of servers that are cold.
#[test]
fn time_behind_a_request_for_a_permit_is_ignored_by_builds_that_do_not_know_it() {
    let request = PermitRequest { server: limited_server(), priority: 3, max_wait: ms(40) };
    let cold = ColdServer { left_ms: 2_500 };
    let alone = postcard::to_stdvec(&request).unwrap();
    let with_time = postcard::to_stdvec(&(request.clone(), cold)).unwrap();

    let read_by_older: PermitRequest = postcard::from_bytes(&with_time).unwrap();
    let (read, rest) = postcard::take_from_bytes::<PermitRequest>(&with_time).unwrap();
    let (_, rest_of_older) = postcard::take_from_bytes::<PermitRequest>(&alone).unwrap();

    assert_eq!((&read_by_older, &read), (&request, &request));
    assert_eq!(postcard::from_bytes(rest), Ok(cold));
    assert!(postcard::from_bytes::<ColdServer>(rest_of_older).is_err());
}
