//! Small helpers of the stand-ins' HTTP servers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use bytes::Bytes;
use eyre::Result;
use http::{HeaderMap, Request, Response};
use http_body_util::BodyExt;
use sassafrashoist::util::http_server::bind_listener;
use tokio::net::TcpListener;
use volo_http::body::Body;

/// A loopback address with a port that the system chooses.
pub const ANY_LOOPBACK_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The first port given to processes; the system chooses its own ports from far above.
const FIRST_PROCESS_PORT: u16 = 10_000;
/// Ports from which one process starts its search, so that two seldom meet.
const PORT_STARTS: u32 = 1_000;
/// Ports between the starts of two searches.
const PORTS_PER_START: u16 = 15;

static NEXT_PORT_STEP: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address for a process that is about to start.
///
/// The port is below those that the system chooses, so no connection takes it meanwhile.
pub fn find_free_address() -> SocketAddr {
    find_free_address_on(Ipv4Addr::LOCALHOST)
}

/// Returns a loopback IP address that no other process of the tests uses, so that a port stays free
/// while the process that listens on it is restarted.
pub fn own_loopback_ip() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    // Ends in 1, since 127.0.0.0 and 127.255.255.255 are no addresses of hosts.
    Ipv4Addr::new(127, high, low, 1)
}

/// Returns an address on a loopback IP for a process that is about to start.
pub fn find_free_address_on(ip: Ipv4Addr) -> SocketAddr {
    let start = (std::process::id() % PORT_STARTS) as u16 * PORTS_PER_START;
    loop {
        let step = NEXT_PORT_STEP.fetch_add(1, Ordering::Relaxed);
        let offset = start.wrapping_add(step) % (PORT_STARTS as u16 * PORTS_PER_START);
        let address = SocketAddr::from((ip, FIRST_PROCESS_PORT + offset));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Listens on a loopback port and returns its address too.
///
/// # Errors
///
/// Fails when no port can be bound.
pub async fn bind_loopback() -> Result<(TcpListener, SocketAddr)> {
    let listener = bind_listener(ANY_LOOPBACK_PORT).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Reads a whole body; empty when it is cut.
pub async fn read_whole_body(request: Request<Body>) -> Bytes {
    match request.into_body().collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(_) => Bytes::new(),
    }
}

/// Returns a header's text, empty when missing.
pub fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

/// Returns a header's number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).parse().ok()
}

/// Builds an answer whose body fails, so that the connection breaks before the answer is whole.
pub fn build_broken_answer() -> Response<Body> {
    let failure: Result<http_body::Frame<Bytes>, volo_http::error::BoxError> =
        Err("connection broken by a fault".into());
    Response::new(Body::from_stream(futures::stream::iter([failure])))
}

/// Returns a query parameter's number.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.parse().ok())?
    })
}
