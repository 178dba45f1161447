//! A fixture: one connection that the gateway's code serves within the test.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use sassafrashoist::gateway::closing_signals::ClosingSignals;
use sassafrashoist::gateway::listen::{ConnectionPolicy, serve_connection};
use sassafrashoist::gateway::open_connections::OpenConnections;
use sassafrashoist::gateway::request_body::RequestBody;
use sassafrashoist::gateway::response_body::{ResponseBody, full_response};
use sassafrashoist_core::gateway::connection_phase::PhaseCounts;
use sassafrashoist_core::gateway::connection_timeouts::ConnectionTimeouts;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A whole request without a body.
pub const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
/// The longest wait for anything.
pub const WAIT: Duration = Duration::from_secs(10);
/// How long the caller may take none of the bytes of a response.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two checks of the counts.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A caller's connection and what the gateway knows of it.
pub struct ServedConnection {
    /// The caller's end.
    pub caller: TcpStream,
    /// Where the gateway counts the connection.
    pub connections: Arc<OpenConnections>,
    /// The signals that close it.
    pub signals: ClosingSignals,
    /// Its timeouts.
    pub timeouts: watch::Sender<ConnectionTimeouts>,
}

/// Serves one connection without a timeout that matters.
pub async fn serve<F, R>(handle: F) -> ServedConnection
where
    F: Fn(Request<RequestBody>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    serve_with_timeouts(WAIT, WAIT, handle).await
}

/// Serves one connection with these timeouts.
pub async fn serve_with_timeouts<F, R>(
    idle: Duration,
    head: Duration,
    handle: F,
) -> ServedConnection
where
    F: Fn(Request<RequestBody>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let connections = Arc::<OpenConnections>::default();
    let signals = ClosingSignals::default();
    let closing = signals.clone();
    let timeouts = watch::Sender::new(ConnectionTimeouts { idle, head });
    let policy = ConnectionPolicy {
        timeouts: timeouts.subscribe(),
        write_timeout: WRITE_TIMEOUT,
        max_head_bytes: 8_192,
        closing,
    };
    let open = connections.add();
    tokio::spawn(async move { serve_connection(stream, open, policy, handle).await });
    ServedConnection { caller, connections, signals, timeouts }
}

/// Returns a response whose body has this length.
pub fn answer(status: StatusCode, bytes: usize) -> Response<ResponseBody> {
    full_response(status, HeaderMap::new(), Bytes::from(vec![b'x'; bytes]))
}

/// Handles each request with a success whose body has this length.
pub fn succeed(
    bytes: usize,
) -> impl Fn(Request<RequestBody>) -> std::future::Ready<Response<ResponseBody>> + Send + Sync + 'static
{
    move |_| std::future::ready(answer(StatusCode::OK, bytes))
}

impl ServedConnection {
    /// Waits until the counts of connections fulfil a condition.
    pub async fn wait_for(&self, condition: impl Fn(&PhaseCounts) -> bool) -> PhaseCounts {
        let fulfilled = async {
            loop {
                let counts = self.connections.counts();
                if condition(&counts) {
                    return counts;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(WAIT, fulfilled).await;
        waited.unwrap_or_else(|_| panic!("{:?}", self.connections.counts()))
    }

    /// Reads until the gateway closes the connection.
    pub async fn read_to_end(&mut self) -> String {
        let mut received = Vec::new();
        let read = tokio::time::timeout(WAIT, self.caller.read_to_end(&mut received)).await;
        read.unwrap().unwrap();
        String::from_utf8_lossy(&received).into_owned()
    }
}
