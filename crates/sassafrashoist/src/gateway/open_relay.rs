//! Asks another VM to reach a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr, ensure};
use http::header::{CONNECTION, HOST, UPGRADE};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::rt::TokioIo;
use sassafrashoist_core::gateway::server_listing::ServerListing;

use super::gateway_context::GatewayContext;
use super::http_connection::Connection;
use super::relay_messages::{RELAY_PATH, RELAY_PROTOCOL, RelayOutcome, RelayPurpose, RelayRequest};
use super::send_message::{MAX_MESSAGE_BYTES, RESPONSE_TIMEOUT};

/// How long a connection through another VM may take to open, with the connection to that VM.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);

/// Builds the request to reach a server.
pub fn relay_request(
    context: &Arc<GatewayContext>,
    listing: &ServerListing,
    purpose: RelayPurpose,
) -> RelayRequest {
    RelayRequest {
        holder_id: context.lock_tokens().holding.holder_id().clone(),
        server_id: listing.id.clone(),
        started_at_unix_ms: listing.started_at_unix_ms,
        purpose,
    }
}

/// Opens a connection to a server through a VM.
///
/// # Errors
///
/// Fails with the VM's answer, or with `None` if it did not answer.
pub async fn open_relay(
    vm_address: SocketAddr,
    relay_request: &RelayRequest,
) -> Result<Connection, Option<RelayOutcome>> {
    let opening = tokio::time::timeout(RELAY_TIMEOUT, open(vm_address, relay_request));
    match opening.await {
        Ok(Ok(Ok(connection))) => Ok(connection),
        Ok(Ok(Err(outcome))) => Err(Some(outcome)),
        Ok(Err(error)) => {
            log::info!(vm:% = vm_address, error:% = format!("{error:#}"); "no connection through another VM");
            Err(None)
        }
        Err(_) => {
            log::info!(vm:% = vm_address; "no connection through another VM in time");
            Err(None)
        }
    }
}

async fn open(
    vm_address: SocketAddr,
    relay_request: &RelayRequest,
) -> eyre::Result<Result<Connection, RelayOutcome>> {
    let body = postcard::to_stdvec(relay_request).wrap_err("failed to encode the request")?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(RELAY_PATH)
        .header(HOST, vm_address.to_string())
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, RELAY_PROTOCOL)
        .body(Full::new(Bytes::from(body)))?;
    let mut connection = Connection::open(vm_address, RESPONSE_TIMEOUT).await?;
    let response = connection.send_upgrade(request).await?;
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        let upgraded = hyper::upgrade::on(response).await.wrap_err("failed to switch protocols")?;
        return Ok(Ok(Connection::over(vm_address, TokioIo::new(upgraded)).await?));
    }
    ensure!(response.status() == StatusCode::OK, "VM responded with status {}", response.status());
    let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await;
    let body = body.map_err(|error| eyre::eyre!(error)).wrap_err("failed to read the response")?;
    let outcome =
        postcard::from_bytes(&body.to_bytes()).wrap_err("failed to decode the response")?;
    Ok(Err(outcome))
}
