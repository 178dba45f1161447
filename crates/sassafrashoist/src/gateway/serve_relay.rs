//! Opens connections to backend servers for VMs that have lost their own paths, and carries their
//! bytes.
//!
//! The VM that asks keeps the request, its tokens and all decisions. A connection to a server that
//! ends, fails or is cancelled ends the connection to that VM in the same way: closed if the server
//! closed it, reset in all other cases, also if this process is killed.

use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::FutureExt;
use http::header::{CONNECTION, UPGRADE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use hyper::upgrade::OnUpgrade;
use hyper_util::rt::TokioIo;
use sassafrashoist_core::gateway::server_paths::Way;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

use super::gateway_context::GatewayContext;
use super::relay_messages::{RELAY_PROTOCOL, RelayOutcome, RelayPurpose, RelayRequest};
use super::response_body::{ResponseBody, full_response};
use super::serve_peers::encode_response;

/// How long a connection for another VM may take to open; shorter than that VM waits.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a server may still respond to a request that the other VM has given up: longer than that VM
/// waits.
const RESPONSE_TIME_AFTER_CLOSE: Duration = Duration::from_millis(150);
/// How long another VM may take to receive a response whose server took no whole request.
const RECEIPT_TIME: Duration = Duration::from_millis(250);
/// The most bytes that are read at once.
const CHUNK_BYTES: usize = 8_192;

/// Opens a connection to a server for another VM.
pub async fn serve_relay(
    context: &Arc<GatewayContext>,
    request: &RelayRequest,
    upgrade: OnUpgrade,
) -> Response<ResponseBody> {
    // Counted from now on, so that a drain waits for a connection that is being opened.
    let in_progress = context.requests.token();
    let opened = open(context, request).await;
    let outcome = opened.as_ref().err().copied().unwrap_or(RelayOutcome::Reached);
    log::info!(
        from = request.holder_id, server = request.server_id, outcome:? = outcome;
        "connection for another VM"
    );
    match (opened, request.purpose) {
        (Ok(server), RelayPurpose::Carry(max_time)) => {
            tokio::spawn(async move {
                carry(upgrade, server, max_time).await;
                drop(in_progress);
            });
            switch_protocol()
        }
        _ => encode_response(&outcome),
    }
}

fn switch_protocol() -> Response<ResponseBody> {
    let mut headers = HeaderMap::new();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static(RELAY_PROTOCOL));
    full_response(StatusCode::SWITCHING_PROTOCOLS, headers, bytes::Bytes::new())
}

async fn open(context: &GatewayContext, request: &RelayRequest) -> Result<TcpStream, RelayOutcome> {
    if !context.lock_tokens().ledger.is_open(&request.holder_id) {
        return Err(RelayOutcome::UnknownSender);
    }
    if context.draining.is_cancelled() || !context.can_hold_requests() {
        return Err(RelayOutcome::Busy);
    }
    let server_id = &request.server_id;
    let listing = context.lock_servers().server(server_id).map(|server| server.listing.clone());
    let listing = listing
        .filter(|listing| listing.started_at_unix_ms == request.started_at_unix_ms)
        .ok_or(RelayOutcome::UnknownServer)?;
    // The other VM may not know the order yet. Its connections for other purposes carry no request.
    if request.purpose != RelayPurpose::Probe && context.is_evacuated(&listing) {
        return Err(RelayOutcome::UnknownServer);
    }
    if context.lock_paths().way_to(&listing.pool_id, server_id, context.now()) != Way::Direct {
        return Err(RelayOutcome::NoPath);
    }
    let connecting = TcpStream::connect(listing.address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(RelayOutcome::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(RelayOutcome::Unreachable),
    };
    context.record_opened(&listing.pool_id, server_id);
    stream.set_nodelay(true).map_err(|_| RelayOutcome::Unreachable)?;
    Ok(stream)
}

/// Passes bytes on until one side ends its connection or `max_time` has passed.
async fn carry(upgrade: OnUpgrade, server: TcpStream, max_time: Duration) {
    let carried = tokio::time::timeout(max_time, async {
        match upgrade.await {
            Ok(vm) => splice(TokioIo::new(vm), server).await,
            Err(error) => log::info!(error:% = error; "other VM left before its connection opened"),
        }
    });
    if carried.await.is_err() {
        log::info!("connection for another VM ended after its longest time");
    }
}

/// Passes the bytes of a request and of its response on between another VM and a server. The writing
/// side to the VM is closed only if the server has ended the response properly.
pub async fn splice(vm: impl AsyncRead + AsyncWrite, server: TcpStream) {
    let (mut from_vm, mut to_vm) = tokio::io::split(vm);
    let (mut from_server, mut to_server) = server.into_split();
    // A reset is reported once for each socket. Where a write has taken it, the next read finds the
    // end of the stream.
    let is_request_taken = AtomicBool::new(true);
    let requests = async {
        let end = pass_request_on(&mut from_vm, &mut to_server).await;
        is_request_taken.store(end != PassEnd::NotTaken, Ordering::Relaxed);
        end
    };
    let responses = async {
        if pass_on(&mut from_server, &mut to_vm).await == PassEnd::Closed
            && is_request_taken.load(Ordering::Relaxed)
            && let Err(error) = to_vm.shutdown().await
        {
            log::debug!(error:% = error; "other VM left before the end of a response");
        }
    };
    tokio::pin!(responses);
    tokio::select! {
        end = requests => match end {
            PassEnd::NotTaken => {
                responses.await;
                // A response that names its length may be complete: the other VM closes the
                // connection then. The reset would discard what it has not received yet.
                let left = discard_until_end(&mut from_vm);
                if tokio::time::timeout(RECEIPT_TIME, left).await.is_err() {
                    log::info!("connection for another VM reset: the server took no whole request");
                }
            }
            // The other VM has given the request up, and may want to know whether the server has
            // begun to run it.
            PassEnd::Closed => {
                if let Err(error) = to_server.shutdown().await {
                    log::debug!(error:% = error; "server left before the end of a request");
                }
                if tokio::time::timeout(RESPONSE_TIME_AFTER_CLOSE, responses).await.is_err() {
                    log::debug!("connection for another VM ended after that of its request");
                }
            }
            PassEnd::Broken => {}
        },
        () = &mut responses => {}
    }
}

/// Reads and discards bytes until the sender closes its connection, or that fails.
async fn discard_until_end(from: &mut (impl AsyncRead + Unpin)) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while matches!(from.read(&mut chunk).await, Ok(1..)) {}
}

/// How the flow of bytes in one direction ended.
#[derive(Debug, PartialEq, Eq)]
pub enum PassEnd {
    /// The sender closed its connection properly.
    Closed,
    /// The sender's connection failed.
    Broken,
    /// The receiver takes no more bytes.
    NotTaken,
}

/// Passes the bytes of a request on. If the other VM has closed its connection behind them, it has given
/// the request up while they waited here, and they are dropped.
pub async fn pass_request_on(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
) -> PassEnd {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut read = from.read(&mut chunk).await;
    loop {
        let passed = match read {
            Ok(0) => return PassEnd::Closed,
            Ok(count) => chunk[..count].to_vec(),
            Err(error) => return record_broken(&error),
        };
        let next = from.read(&mut chunk).now_or_never();
        if matches!(next, Some(Ok(0) | Err(_))) {
            log::info!("request of another VM dropped: it has closed its connection");
            return PassEnd::Closed;
        }
        if to.write_all(&passed).await.is_err() || to.flush().await.is_err() {
            return PassEnd::NotTaken;
        }
        read = match next {
            Some(read) => read,
            None => from.read(&mut chunk).await,
        };
    }
}

fn record_broken(error: &io::Error) -> PassEnd {
    log::debug!(error:% = error; "connection carried for another VM failed");
    PassEnd::Broken
}

async fn pass_on(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
) -> PassEnd {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = match from.read(&mut chunk).await {
            Ok(0) => return PassEnd::Closed,
            Ok(count) => count,
            Err(error) => return record_broken(&error),
        };
        if to.write_all(&chunk[..count]).await.is_err() || to.flush().await.is_err() {
            return PassEnd::NotTaken;
        }
    }
}
