//! Finds out whether a server ended under a request.
//!
//! A process that ends closes its connections and its port. A connection that was only reset, or a
//! server that is cut off, frozen or without power, is told apart by a new connection. So that a VM
//! does not take a lost path of its own for the end of a server, other VMs try to connect too.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::server_listing::ServerListing;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use super::gateway_context::GatewayContext;
use super::open_relay::relay_request;
use super::relay_messages::{RELAY_PATH, RelayOutcome, RelayPurpose, RelayRequest};
use super::request_context::RequestContext;
use super::send_attempt::ServerSlot;
use super::send_message::send_message_within;
use super::share_crashes::report_crash;

/// How long the probe of a server whose connection was lost may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// The number of other VMs that are asked whether they reach a server.
const WITNESS_COUNT: usize = 5;
/// How long they may take to answer.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(150);
/// How long their answer is used.
const ANSWER_VALIDITY: Duration = Duration::from_millis(500);

/// What other VMs answered last about a server, and when. Requests that wait for an answer hold the
/// lock in turn.
pub type Inquiry = Arc<Mutex<Option<(Uptime, LostConnection)>>>;

/// What a lost connection says about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostConnection {
    /// The server refuses the connections of this VM and of others: its process has ended.
    ServerEnded,
    /// Another VM reaches the server: this VM has lost its path to it.
    PathLost,
    /// The server had said, or the platform listed, that it stops.
    ServerLeft,
    /// The server accepts connections.
    ServerLives,
    /// The server does not respond: it is cut off, frozen or without power.
    ServerUnreachable,
}

impl LostConnection {
    /// Returns the value in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ServerEnded => "ended",
            Self::PathLost => "path lost",
            Self::ServerLeft => "left",
            Self::ServerLives => "lives",
            Self::ServerUnreachable => "unreachable",
        }
    }
}

/// Finds out, logs, counts and, if it is a crash, shares what happened to the server whose connection
/// was lost while it had a request.
pub async fn report_lost_connection(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    slot: &ServerSlot,
) {
    let lost = find_cause(context, slot).await;
    log::info!(
        id = request.id(), fingerprint:% = request.fingerprint_text(),
        parts = request.shared_parts_text(),
        server = slot.server_id(), version = slot.listing().software_version,
        found = lost.as_str(), relay = slot.relay_vm_id().unwrap_or("-"),
        sent_ago_ms = slot.sent_ago().as_millis() as u64;
        "server lost under a request"
    );
    metrics::counter!("sassafrashoist_servers_lost_total", "found" => lost.as_str()).increment(1);
    if lost == LostConnection::ServerEnded {
        report_crash(context, request, slot);
    }
}

async fn find_cause(context: &Arc<GatewayContext>, slot: &ServerSlot) -> LostConnection {
    let server_id = slot.server_id();
    let accepts_requests =
        context.lock_servers().server(server_id).is_some_and(|s| s.accepts_requests());
    let error = if slot.has_lost_path() {
        Some(ErrorKind::ConnectionRefused)
    } else {
        connect(slot.listing().address).await
    };
    match error {
        None => {
            context.record_opened(&slot.listing().pool_id, server_id);
            LostConnection::ServerLives
        }
        Some(ErrorKind::ConnectionRefused) if !accepts_requests => LostConnection::ServerLeft,
        Some(ErrorKind::ConnectionRefused) => ask_witnesses(context, slot.listing()).await,
        Some(_) => LostConnection::ServerUnreachable,
    }
}

/// Opens a connection and closes it at once; returns the kind of the error if that fails.
async fn connect(address: SocketAddr) -> Option<ErrorKind> {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => None,
        Ok(Err(error)) => Some(error.kind()),
        Err(_) => Some(ErrorKind::TimedOut),
    }
}

/// Asks other VMs whether a server refuses their connections too.
///
/// A server that refuses all of them has ended. Requests that lost the same server share an answer.
async fn ask_witnesses(context: &Arc<GatewayContext>, listing: &ServerListing) -> LostConnection {
    let inquiry = context.inquiry(&listing.id);
    let mut last = inquiry.lock().await;
    if let Some((at, found)) = *last
        && context.now() < at + ANSWER_VALIDITY
    {
        return found;
    }
    let found = inquire(context, listing).await;
    *last = Some((context.now(), found));
    found
}

async fn inquire(context: &Arc<GatewayContext>, listing: &ServerListing) -> LostConnection {
    let others = context.other_vms();
    if others.is_empty() {
        return compare_with_another_server(context, &listing.id).await;
    }
    let witnesses = context.lock_relays().choose_witnesses(
        &others,
        &listing.pool_id,
        &context.settings().data_centre_id,
        WITNESS_COUNT,
        rand::random(),
        context.now(),
    );
    let request = relay_request(context, listing, RelayPurpose::Probe);
    let mut answers: FuturesUnordered<_> =
        witnesses.iter().map(|witness| ask_witness(witness, &request)).collect();
    let mut refused_count = 0;
    while let Some((witness, outcome)) = answers.next().await {
        match outcome {
            Some(RelayOutcome::Reached) => {
                context.record_path_lost(listing, &witness.vm_id, &"connection refused");
                return LostConnection::PathLost;
            }
            Some(RelayOutcome::Refused) => refused_count += 1,
            outcome => log::info!(
                server = listing.id, vm = witness.vm_id, outcome:? = outcome;
                "another VM cannot tell whether a server has ended"
            ),
        }
    }
    if refused_count > 0 { LostConnection::ServerEnded } else { LostConnection::ServerUnreachable }
}

/// Finds out whether a server has ended without the help of another VM: this VM still has paths if it
/// reaches another server.
async fn compare_with_another_server(context: &GatewayContext, server_id: &str) -> LostConnection {
    let address = context.lock_servers().another_server(server_id).map(|listing| listing.address);
    match address {
        Some(address) if connect(address).await.is_none() => LostConnection::ServerEnded,
        _ => LostConnection::ServerUnreachable,
    }
}

async fn ask_witness<'a>(
    witness: &'a FleetVm,
    request: &RelayRequest,
) -> (&'a FleetVm, Option<RelayOutcome>) {
    let sent = send_message_within(witness.peer_address, RELAY_PATH, request, WITNESS_TIMEOUT);
    let outcome = match sent.await {
        Ok(body) => postcard::from_bytes(&body).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    if let Err(error) = &outcome {
        log::info!(vm = witness.vm_id, error = error; "no answer about a server from another VM");
    }
    (witness, outcome.ok())
}
