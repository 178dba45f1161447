//! Helpers for loopback addresses and for the HTTP servers of the stand-ins.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use bytes::Bytes;
use eyre::Result;
use http::{HeaderMap, Request, Response};
use http_body_util::BodyExt;
use sassafrashoist::util::http_response::build_response;
use sassafrashoist::util::http_server::bind_listener;
use tokio::net::TcpListener;
use volo_http::body::Body;

/// A loopback address with a port that the operating system chooses.
pub const ANY_LOOPBACK_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The first port of processes under test, below the operating system's ephemeral ports.
const FIRST_PROCESS_PORT: u16 = 10_000;
/// Number of port ranges; a test process starts its search in the range that its id selects, so
/// that two test processes rarely try the same port.
const PORT_RANGES: u32 = 1_000;
/// Ports in one range.
const PORTS_PER_RANGE: u16 = 15;

static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a free loopback address for a process that is about to start.
///
/// The port is below the ephemeral ports, so no outgoing connection takes it before the process
/// binds it.
pub fn find_free_address() -> SocketAddr {
    find_free_address_on(Ipv4Addr::LOCALHOST)
}

/// Returns a loopback IP address derived from the id of this process, so that other test processes
/// do not take a port while the process that listens on it is restarted.
pub fn process_loopback_ip() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    // Ends in 1, since 127.0.0.0 and 127.255.255.255 are not host addresses.
    Ipv4Addr::new(127, high, low, 1)
}

/// Returns a free address on a loopback IP for a process that is about to start.
pub fn find_free_address_on(ip: Ipv4Addr) -> SocketAddr {
    let start = (std::process::id() % PORT_RANGES) as u16 * PORTS_PER_RANGE;
    loop {
        let step = NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let offset = start.wrapping_add(step) % (PORT_RANGES as u16 * PORTS_PER_RANGE);
        let address = SocketAddr::from((ip, FIRST_PROCESS_PORT + offset));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Binds a listener to a loopback port and returns it with its address.
///
/// # Errors
///
/// Fails when no port can be bound.
pub async fn bind_loopback() -> Result<(TcpListener, SocketAddr)> {
    let listener = bind_listener(ANY_LOOPBACK_PORT).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Reads a complete body.
///
/// # Errors
///
/// Fails when the connection breaks before the end of the body, with the response to the request.
pub async fn read_body(request: Request<Body>) -> Result<Bytes, Response<Body>> {
    match request.into_body().collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => {
            Err(build_response(400, "text/plain", format!("failed to read the body: {error}\n")))
        }
    }
}

/// Returns the text of a header, empty when missing.
pub fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

/// Returns the number in a header.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).parse().ok()
}

/// Builds a response whose body fails, so that the connection breaks before the response is
/// complete.
pub fn build_broken_response() -> Response<Body> {
    let failure: Result<http_body::Frame<Bytes>, volo_http::error::BoxError> =
        Err("connection broken by a fault".into());
    Response::new(Body::from_stream(futures::stream::iter([failure])))
}

/// Returns the number in a query parameter.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.parse().ok())?
    })
}
