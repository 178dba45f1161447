//! Tests of a gateway whose peers are VMs of another build, which do not know all of its messages.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sassafrashoist::gateway::config_messages::CONFIG_PATH;
use sassafrashoist::gateway::peer_datagram::PeerDatagram;
use sassafrashoist::gateway::peer_messages::{
    TRANSFER_PATH, TokenTransferRequest, TokenTransferResponse,
};
use sassafrashoist::gateway::permit_messages::PERMIT_PATH;
use sassafrashoist::gateway::relay_messages::RELAY_PATH;
use sassafrashoist::gateway::stream_origin_messages::{
    KeptOrigin, STREAM_ORIGIN_PATH, StreamOriginRequest,
};
use sassafrashoist_core::gateway::clock_reading::ClockReading;
use sassafrashoist_core::gateway::config_announcement::ConfigAnnouncement;
use sassafrashoist_core::gateway::config_readers::MAX_SMALL_FLEET_VMS;
use sassafrashoist_core::gateway::holder_record::{HeldTokens, HolderRecord};
use sassafrashoist_core::gateway::spending_limit::SpendingLimit;
use sassafrashoist_core::gateway::stream_origins::StreamOrigin;
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::http_listener::PathFault;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    ACCOUNT, API_KEY, BID_PATH, CHAT_PATH, DRAFT_PATH, EVENT_INTERVAL, FIRST_VERSION, FleetPlan,
    STATUS_PATH, StandInFleet,
};
use tokio::net::{TcpListener, UdpSocket};

/// The paths of the messages that peers got.
type AskedPaths = Arc<Mutex<BTreeSet<String>>>;

const LEDGER_TOPIC: &str = "keyed.ledger";
/// Enough peers that the fleet shares its configuration.
const PEER_COUNT: usize = MAX_SMALL_FLEET_VMS + 1;
const PAID_TOKENS: u64 = 1_000_000;
/// What all peers hold together; the gateway must ask them when the rest is used.
const PEERS_TOKENS: u64 = 990_000;
/// The time between two records that a peer writes to the ledger.
const RECORD_INTERVAL: Duration = Duration::from_secs(2);
/// The time in which the gateway learns of its peers.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// How long a change may take to come into force.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(4);

/// The messages that a peer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownMessages {
    /// None.
    None,
    /// Requests for tokens and for the origins of streams, as builds that share no configuration.
    TokensAndStreams,
}

impl KnownMessages {
    /// Returns the body of the response to a message; `None` if the message is not known.
    fn respond(self, path: &str, message: &[u8]) -> Option<Vec<u8>> {
        match path {
            TRANSFER_PATH if self == Self::TokensAndStreams => {
                let request: TokenTransferRequest = postcard::from_bytes(message).unwrap();
                let response = TokenTransferResponse {
                    sent_tokens: request.desired_tokens.max(request.needed_tokens),
                    remaining_tokens: 10_000,
                    spent_tokens: 0,
                };
                Some(postcard::to_stdvec(&response).unwrap())
            }
            STREAM_ORIGIN_PATH if self == Self::TokensAndStreams => {
                let request: StreamOriginRequest = postcard::from_bytes(message).unwrap();
                let origin = StreamOrigin {
                    pool_id: "llm".to_owned(),
                    server_id: "engine-0".to_owned(),
                    started_at_unix_ms: 1,
                    software_version: FIRST_VERSION.to_owned(),
                    account_id: request.account_id,
                };
                let kept = KeptOrigin { origin, began_ago: Duration::from_secs(1) };
                Some(postcard::to_stdvec(&Some(kept)).unwrap())
            }
            _ => None,
        }
    }
}

/// A VM that writes its records to the ledger and drops all datagrams.
struct OlderPeer {
    vm_id: String,
    address: SocketAddr,
    socket: UdpSocket,
}

impl OlderPeer {
    /// Starts a peer that adds the paths of the messages that it gets to `asked_paths`.
    async fn start(number: usize, known: KnownMessages, asked_paths: &AskedPaths) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let socket = UdpSocket::bind(address).await.unwrap();
        let asked_paths = Arc::clone(asked_paths);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let asked_paths = Arc::clone(&asked_paths);
                let service = service_fn(move |request: Request<Incoming>| {
                    let asked_paths = Arc::clone(&asked_paths);
                    async move {
                        let path = request.uri().path().to_owned();
                        asked_paths.lock().unwrap().insert(path.clone());
                        let message = request.into_body().collect().await?.to_bytes();
                        let response = known.respond(&path, &message);
                        let status = if response.is_some() { 200 } else { 404 };
                        let mut response =
                            Response::new(Full::new(Bytes::from(response.unwrap_or_default())));
                        *response.status_mut() = StatusCode::from_u16(status).unwrap();
                        Ok::<_, hyper::Error>(response)
                    }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { vm_id: format!("vm-older-{number}"), address, socket }
    }

    fn record(&self, sequence: u64) -> HolderRecord {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let tokens = PEERS_TOKENS / PEER_COUNT as u64;
        let held = HeldTokens {
            account_id: ACCOUNT.to_owned(),
            net_drawn_tokens: tokens as i64,
            spending_limit: SpendingLimit { tokens, growth_tokens_per_s: 0 },
            ..HeldTokens::default()
        };
        HolderRecord {
            vm_id: self.vm_id.clone(),
            data_centre_id: "plateau".to_owned(),
            peer_address: self.address,
            sequence,
            is_closed: false,
            sent_at: ClockReading { since_boot: since_epoch, since_epoch },
            limits_active_for: Duration::from_secs(60),
            accounts: vec![held],
        }
    }
}

fn write_records(fleet: &StandInFleet, peers: &[OlderPeer], sequence: u64) {
    for peer in peers {
        let record = postcard::to_stdvec(&peer.record(sequence)).unwrap();
        fleet.log.write(LEDGER_TOPIC, &format!("{}.1", peer.vm_id), &record);
    }
}

async fn start(name: &str) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("older_peers").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: 1,
        engine_count: 2,
        plain_count: 2,
        paid_tokens: PAID_TOKENS,
        has_own_paths: true,
        event_interval: EVENT_INTERVAL,
    };
    StandInFleet::start(program, &folder, plan).await.unwrap()
}

fn requests() -> [CallerRequest; 5] {
    let draft = CallerRequest::to_model(DRAFT_PATH, 900, 100);
    let resume = vec![("last-event-id", "2".to_owned()), ("resumes", "gone".to_owned())];
    [
        CallerRequest { headers: resume, ..draft.clone() },
        draft,
        CallerRequest::to_model(CHAT_PATH, 900, 100),
        CallerRequest::plain(Method::POST, BID_PATH),
        CallerRequest::plain(Method::GET, STATUS_PATH),
    ]
}

/// Sends each request `count` times; returns the statuses by the index of the request.
async fn send_all(fleet: &StandInFleet, name: &str, count: usize) -> Vec<Vec<u16>> {
    let mut statuses = vec![Vec::new(); requests().len()];
    for number in 0..count {
        for (kind, request) in requests().iter().enumerate() {
            let response = fleet.send(0, &format!("{name}-{kind}-{number}"), request).await;
            statuses[kind].push(response.unwrap().status);
        }
    }
    statuses
}

async fn is_route_served(fleet: &StandInFleet, name: &str) -> bool {
    let request = CallerRequest::plain(Method::GET, &format!("/{name}/1"));
    let sending = async {
        for number in 0.. {
            let response = fleet.send(0, &format!("{name}-{number}"), &request).await;
            if response.unwrap().status == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(CONFIG_APPLY_TIME, sending).await.is_ok()
}

async fn start_peers(known: KnownMessages, asked_paths: &AskedPaths) -> Vec<OlderPeer> {
    let peers = (0..PEER_COUNT).map(|number| OlderPeer::start(number, known, asked_paths));
    futures::future::join_all(peers).await
}

/// Writes the records of all peers without end, and announces a configuration that they do not have.
async fn write_and_announce(fleet: &StandInFleet, peers: &[OlderPeer]) {
    let newest = ConfigAnnouncement { version: 1_001, document_hash: 1, known_ago: Duration::ZERO };
    let datagram = postcard::to_stdvec(&PeerDatagram::ConfigAnnounced(newest)).unwrap();
    for sequence in 2.. {
        write_records(fleet, peers, sequence);
        for _ in 0..RECORD_INTERVAL.as_millis() / 200 {
            for peer in peers {
                peer.socket.send_to(&datagram, fleet.gateways[0].peer_address).await.unwrap();
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

// A 404 of a peer that does not know a message says nothing about the route of a request.
#[tokio::test]
async fn unknown_message_at_a_peer_is_no_404_of_a_caller() {
    let mut fleet = start("unknown_messages").await;
    let asked_paths = AskedPaths::default();
    let peers = start_peers(KnownMessages::None, &asked_paths).await;
    write_records(&fleet, &peers, 1);
    tokio::time::sleep(SETTLING_TIME).await;
    let calls = async {
        let with_paths = send_all(&fleet, "with-paths", 15).await;
        fleet.set_path_fault(0, PathFault::Resets);
        let without_paths = send_all(&fleet, "without-paths", 5).await;
        fleet.set_path_fault(0, PathFault::None);
        (with_paths, without_paths)
    };

    let (with_paths, without_paths) = tokio::select! {
        statuses = calls => statuses,
        () = write_and_announce(&fleet, &peers) => unreachable!("they are written without end"),
    };
    fleet.add_route("added", &[API_KEY]);
    let is_added_served = is_route_served(&fleet, "added").await;
    fleet.plain_servers.iter().for_each(|server| server.set_limit(Some("50")));
    let with_limits = send_all(&fleet, "with-limits", 5).await;

    let asked = asked_paths.lock().unwrap().clone();
    let all = [&with_paths[..], &without_paths[..], &with_limits[..]].concat();
    assert!(all.iter().flatten().all(|status| [200, 503].contains(status)), "{all:?}");
    assert!(with_paths[3..].iter().flatten().all(|status| *status == 200), "{with_paths:?}");
    assert!(is_added_served);
    for path in [CONFIG_PATH, TRANSFER_PATH, PERMIT_PATH, RELAY_PATH, STREAM_ORIGIN_PATH] {
        assert!(asked.contains(path), "{path} of {asked:?}: {all:?}");
    }
}

// During an upgrade most peers neither send nor understand what a new build adds.
#[tokio::test]
async fn gateway_among_older_peers_gets_tokens_streams_and_configurations() {
    let mut fleet = start("tokens_and_streams").await;
    let asked_paths = AskedPaths::default();
    let peers = start_peers(KnownMessages::TokensAndStreams, &asked_paths).await;
    write_records(&fleet, &peers, 1);
    tokio::time::sleep(SETTLING_TIME).await;

    let statuses = tokio::select! {
        statuses = send_all(&fleet, "older", 20) => statuses,
        () = write_and_announce(&fleet, &peers) => unreachable!("they are written without end"),
    };
    fleet.add_route("added", &[API_KEY]);
    let is_added_served = is_route_served(&fleet, "added").await;

    let asked = asked_paths.lock().unwrap().clone();
    assert!(statuses.iter().flatten().all(|status| *status == 200), "{statuses:?}");
    assert!(is_added_served);
    for path in [CONFIG_PATH, TRANSFER_PATH, STREAM_ORIGIN_PATH] {
        assert!(asked.contains(path), "{path} of {asked:?}");
    }
}
