//! Tests of gateways that share the configuration, in a fleet of more than 16.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use http::Method;
use sassafrashoist::gateway::config_messages::{CONFIG_PATH, ConfigRequest, ConfigResponse};
use sassafrashoist::gateway::peer_datagram::PeerDatagram;
use sassafrashoist::gateway::send_message::send_message;
use sassafrashoist_core::gateway::config_announcement::ConfigAnnouncement;
use sassafrashoist_core::gateway::config_readers::{MAX_SMALL_FLEET_VMS, READERS_PER_DATA_CENTRE};
use sassafrashoist_platform_stand_in::caller::CallerRequest;
use sassafrashoist_platform_stand_in::stand_in_fleet::{
    API_KEY, BID_PATH, EVENT_INTERVAL, FleetPlan, StandInFleet,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};

const GATEWAY_COUNT: usize = MAX_SMALL_FLEET_VMS + 1;
/// How long a change may take to come into force.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(4);
/// The time in which all gateways read the ledger and learn of the others.
const SETTLING_TIME: Duration = Duration::from_secs(7);

async fn start(name: &str) -> StandInFleet {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("config_sharing").join(name);
    std::fs::remove_dir_all(&folder).ok();
    let program = Path::new(env!("CARGO_BIN_EXE_sassafrashoist"));
    let plan = FleetPlan {
        gateway_count: GATEWAY_COUNT,
        engine_count: 1,
        plain_count: 1,
        paid_tokens: 10_000_000,
        has_own_paths: false,
        event_interval: EVENT_INTERVAL,
    };
    let fleet = StandInFleet::start(program, &folder, plan).await.unwrap();
    tokio::time::sleep(SETTLING_TIME).await;
    fleet
}

/// Returns whether a gateway accepts a key before the time is over in which changes come into force.
async fn accepts_in_time(fleet: &StandInFleet, gateway: usize, key: &str) -> bool {
    let request =
        CallerRequest { key: Some(key.to_owned()), ..CallerRequest::plain(Method::POST, BID_PATH) };
    let deadline = Instant::now() + CONFIG_APPLY_TIME;
    for number in 0.. {
        let response = fleet.send(gateway, &format!("{key}-{gateway}-{number}"), &request).await;
        if response.is_ok_and(|response| response.status == 200) {
            return true;
        }
        if Instant::now() > deadline {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

async fn count_accepting(fleet: &StandInFleet, key: &str) -> usize {
    let accepting = (0..GATEWAY_COUNT).map(|gateway| accepts_in_time(fleet, gateway, key));
    let accepting = futures::future::join_all(accepting).await;
    accepting.into_iter().filter(|is_accepting| *is_accepting).count()
}

/// Returns the gateways that got a configuration from another one so far.
fn receivers(fleet: &StandInFleet) -> Vec<usize> {
    let has_received = |gateway: &usize| {
        let log = fleet.gateways[*gateway].read_log().unwrap();
        log.lines().any(|line| line.contains("configuration in force") && line.contains("\"vm-"))
    };
    (0..GATEWAY_COUNT).filter(has_received).collect()
}

// Each gateway read the whole configuration from the log service, and got none while it was cut off.
#[tokio::test]
async fn gateways_without_the_log_service_get_a_new_configuration_from_others() {
    let mut fleet = start("cut_off").await;
    fleet.change_keys(&[API_KEY, "first"]);
    let with_first = count_accepting(&fleet, "first").await;
    let receivers = receivers(&fleet);
    receivers.iter().for_each(|gateway| fleet.links[*gateway].set_cut(true));
    tokio::time::sleep(Duration::from_secs(1)).await;

    fleet.change_keys(&[API_KEY, "second"]);
    let with_second = count_accepting(&fleet, "second").await;

    assert_eq!(receivers.len(), GATEWAY_COUNT - READERS_PER_DATA_CENTRE);
    assert_eq!((with_first, with_second), (GATEWAY_COUNT, GATEWAY_COUNT));
}

// Without readers, the others must notice by themselves that they hear nothing any more.
#[tokio::test]
async fn gateways_whose_readers_are_killed_read_the_log_service() {
    let mut fleet = start("killed").await;
    fleet.change_keys(&[API_KEY, "first"]);
    let with_first = count_accepting(&fleet, "first").await;
    let receivers = receivers(&fleet);
    for gateway in (0..GATEWAY_COUNT).filter(|gateway| !receivers.contains(gateway)) {
        fleet.gateways[gateway].kill().unwrap();
    }

    fleet.change_keys(&[API_KEY, "second"]);
    let with_second = count_accepting(&fleet, "second").await;

    assert_eq!(with_first, GATEWAY_COUNT);
    assert_eq!((receivers.len(), with_second), (GATEWAY_COUNT - 3, GATEWAY_COUNT - 3));
}

/// Answers all messages to an address with 404, as a VM of a build that does not know their path.
async fn answer_as_old_build(address: SocketAddr) {
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = vec![0; 65_536];
                let _ = stream.read(&mut request).await;
                let response = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(response).await.ok();
                let _ = stream.read(&mut request).await;
            });
        }
    });
}

// Announcements keep a VM from the log service, so it must read it when it cannot fetch.
#[tokio::test]
async fn gateways_whose_readers_do_not_know_the_message_read_the_log_service() {
    let mut fleet = start("unknown_path").await;
    fleet.change_keys(&[API_KEY, "first"]);
    let with_first = count_accepting(&fleet, "first").await;
    let receivers = receivers(&fleet);
    let mut sockets = Vec::new();
    for gateway in (0..GATEWAY_COUNT).filter(|gateway| !receivers.contains(gateway)) {
        fleet.gateways[gateway].kill().unwrap();
        let address = fleet.gateways[gateway].peer_address;
        answer_as_old_build(address).await;
        sockets.push(UdpSocket::bind(address).await.unwrap());
    }
    let newest = ConfigAnnouncement { version: 9, document_hash: 1, known_ago: Duration::ZERO };
    let datagram = postcard::to_stdvec(&PeerDatagram::ConfigAnnounced(newest)).unwrap();
    let addresses: Vec<_> =
        receivers.iter().map(|gateway| fleet.gateways[*gateway].peer_address).collect();
    let announcing = async {
        loop {
            for (socket, address) in
                sockets.iter().flat_map(|s| addresses.iter().map(move |a| (s, a)))
            {
                socket.send_to(&datagram, address).await.unwrap();
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };

    fleet.change_keys(&[API_KEY, "second"]);
    let with_second = tokio::select! {
        with_second = count_accepting(&fleet, "second") => with_second,
        () = announcing => unreachable!("announcements are sent without end"),
    };

    let log = fleet.gateways[receivers[0]].read_log().unwrap();
    assert_eq!(with_first, GATEWAY_COUNT);
    assert_eq!((receivers.len(), with_second), (GATEWAY_COUNT - 3, GATEWAY_COUNT - 3));
    assert!(log.contains("responded with status 404"), "{log}");
}

// A stranger must not keep a VM from reading the log service.
#[tokio::test]
async fn request_for_a_version_that_the_gateway_does_not_have_is_answered_so() {
    let fleet = start("no_version").await;
    let request = ConfigRequest { version: 1_000, chunk_hashes: Vec::new() };
    let stranger = UdpSocket::bind((fleet.gateways[0].peer_address.ip(), 0)).await.unwrap();
    let announcement =
        ConfigAnnouncement { version: 1_000, document_hash: 1, known_ago: Duration::ZERO };
    let datagram = postcard::to_stdvec(&PeerDatagram::ConfigAnnounced(announcement)).unwrap();

    let response = send_message(fleet.gateways[0].peer_address, CONFIG_PATH, &request).await;
    stranger.send_to(&datagram, fleet.gateways[0].peer_address).await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let log = fleet.gateways[0].read_log().unwrap();

    let response: ConfigResponse = postcard::from_bytes(&response.unwrap()).unwrap();
    assert_eq!(response, ConfigResponse::NoSuchVersion);
    assert!(!log.contains("configuration not received"), "{log}");
}
