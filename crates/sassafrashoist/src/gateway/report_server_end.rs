//! Finds out whether a server ended under a request.
//!
//! A process that ends closes its connections and its port. A connection that was only reset, or a
//! server that is cut off, frozen or without power, is told apart by a new connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::gateway_context::GatewayContext;
use super::request_context::RequestContext;
use super::send_attempt::ServerSlot;
use super::share_crashes::report_crash;

/// How long the probe of a server whose connection was lost may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// What a lost connection says about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostConnection {
    /// The server refuses connections: its process has ended.
    ServerEnded,
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
            Self::ServerLeft => "left",
            Self::ServerLives => "lives",
            Self::ServerUnreachable => "unreachable",
        }
    }
}

/// Finds out, logs, counts and, if it is a crash, shares what happened to the server whose connection was lost while it had a
/// request.
pub async fn report_lost_connection(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    slot: &ServerSlot,
) {
    let lost = probe(context, slot).await;
    log::info!(
        id = request.id(), fingerprint:% = request.fingerprint_text(),
        parts = request.shared_parts_text(),
        server = slot.server_id(), version = slot.listing().software_version,
        found = lost.as_str(), sent_ago_ms = slot.sent_ago().as_millis() as u64;
        "server lost under a request"
    );
    metrics::counter!("sassafrashoist_servers_lost_total", "found" => lost.as_str()).increment(1);
    if lost == LostConnection::ServerEnded {
        report_crash(context, request, slot);
    }
}

async fn probe(context: &GatewayContext, slot: &ServerSlot) -> LostConnection {
    let accepts_requests =
        context.lock_servers().server(slot.server_id()).is_some_and(|s| s.accepts_requests());
    match connect(slot.listing().address).await {
        Some(ErrorKind::ConnectionRefused) if accepts_requests => LostConnection::ServerEnded,
        Some(ErrorKind::ConnectionRefused) => LostConnection::ServerLeft,
        None => LostConnection::ServerLives,
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
