//! An HTTP server that stops when a cancellation token is cancelled.
//!
//! volo-http's own server stops on signals, but a router must finish its drain first, and a test
//! must be able to stop one of many servers. On cancellation, [`StoppableListener`] closes its
//! socket and accepts nothing more, and the serving task is aborted.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use http::{Request, Response};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::server::Server;

/// Handles one request.
pub type HttpHandler =
    Arc<dyn Fn(Request<Body>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// Decides whether a new connection is served. The server closes a connection at once if the gate
/// returns false.
pub type ConnectionGate = Arc<dyn Fn() -> bool + Send + Sync>;

/// A listener that stops accepting connections when its token is cancelled.
pub struct StoppableListener {
    listener: Option<TcpListener>,
    gate: ConnectionGate,
    cancel: CancellationToken,
}

impl fmt::Debug for StoppableListener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoppableListener").field("listener", &self.listener).finish()
    }
}

impl MakeIncoming for StoppableListener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for StoppableListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            let Some(listener) = &self.listener else {
                return std::future::pending().await;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.cancel.cancelled() => {
                    self.listener = None;
                    continue;
                }
            };
            match accepted {
                Ok((stream, _)) if (self.gate)() => return Ok(Some(Conn::from(stream))),
                Ok((stream, _)) => drop(stream),
                Err(error) => log::warn!("failed to accept a connection: {error}"),
            }
        }
    }
}

struct HttpService {
    handler: HttpHandler,
}

impl volo::Service<ServerContext, Request<Body>> for HttpService {
    type Response = Response<Body>;
    type Error = Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: Request<Body>,
    ) -> Result<Response<Body>, Infallible> {
        Ok((self.handler)(request).await)
    }
}

/// Binds a TCP listener.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn bind_listener(address: SocketAddr) -> eyre::Result<TcpListener> {
    use eyre::WrapErr;
    TcpListener::bind(address).await.wrap_err_with(|| format!("failed to listen on {address}"))
}

/// Serves HTTP on a listener until the token is cancelled.
pub fn serve_http(listener: TcpListener, handler: HttpHandler, cancel: CancellationToken) {
    serve_gated_http(listener, handler, Arc::new(|| true), cancel);
}

/// Serves HTTP on a listener until the token is cancelled, and closes new connections while the
/// gate returns false.
pub fn serve_gated_http(
    listener: TcpListener,
    handler: HttpHandler,
    gate: ConnectionGate,
    cancel: CancellationToken,
) {
    let incoming = StoppableListener { listener: Some(listener), gate, cancel: cancel.clone() };
    let server_task = tokio::spawn(async move {
        if let Err(error) = Server::new(HttpService { handler }).run(incoming).await {
            log::error!("HTTP server failed: {error}");
        }
    });
    tokio::spawn(async move {
        cancel.cancelled().await;
        server_task.abort();
    });
}
