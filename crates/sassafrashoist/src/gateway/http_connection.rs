//! An HTTP/1.1 connection.
//!
//! A connection to a backend server or another VM is not used again: bytes that a server sends after
//! its response belong to no request, and a connection that was closed while it was idle never leaves
//! a request in doubt.
//!
//! A server that sends bytes without end that are neither a response head nor data of the body is not
//! read any more once its [`FramingMeter`] says so.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use sassafrashoist_core::gateway::attempt_failure::AttemptFailure;
use sassafrashoist_core::gateway::framing_allowance::MAX_HEAD_BYTES;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::framing_meter::FramingMeter;
use super::metered_stream::MeteredStream;
use super::server_body::ServerBody;
use super::shared_stream::{SharedStream, WriteEnd};

/// The error when no connection could be opened, so that nothing was sent.
#[derive(Debug, thiserror::Error)]
#[error("failed to connect to {address}: {reason}")]
pub struct NotConnected {
    /// The server.
    pub address: SocketAddr,
    /// The cause.
    pub reason: String,
}

/// The error when a request got no response; the request may have been executed.
#[derive(Debug, thiserror::Error)]
pub enum BrokenConnection {
    /// The connection ended or failed before the response head was complete.
    #[error("connection to {address} failed: {source}")]
    Failed {
        /// The server.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// The server sent bytes without end that are no response head, such as interim responses.
    #[error("{address} sent {bytes} bytes without a response")]
    Endless {
        /// The server.
        address: SocketAddr,
        /// The bytes that were read.
        bytes: usize,
    },
    /// The server switched the protocol although the request did not ask for that.
    #[error("{address} switched the protocol unasked")]
    Switched {
        /// The server.
        address: SocketAddr,
    },
}

impl BrokenConnection {
    /// Returns how the attempt failed.
    pub fn failure(&self) -> AttemptFailure {
        match self {
            Self::Failed { source, .. } if source.is_incomplete_message() => AttemptFailure::Closed,
            Self::Failed { source, .. } if !source.is_parse() => AttemptFailure::Lost,
            Self::Failed { .. } | Self::Endless { .. } | Self::Switched { .. } => {
                AttemptFailure::Invalid
            }
        }
    }
}

/// An open connection; dropping it closes the connection, even while a request is in progress.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    meter: FramingMeter,
    write_end: WriteEnd,
}

impl Connection {
    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened, or not within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, NotConnected> {
        let not_connected = |reason: String| NotConnected { address, reason };
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_connected(error.to_string())),
            Err(_) => return Err(not_connected(format!("no response within {timeout:?}"))),
        };
        stream.set_nodelay(true).map_err(|error| not_connected(error.to_string()))?;
        Self::over(address, stream).await
    }

    /// Wraps an open connection to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub async fn over<T>(address: SocketAddr, io: T) -> Result<Self, NotConnected>
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let meter = FramingMeter::new(MAX_HEAD_BYTES);
        let (stream, write_end) = SharedStream::new(io);
        let io = TokioIo::new(MeteredStream::new(stream, meter.clone()));
        let (sender, connection) = http1::Builder::new()
            .preserve_header_case(true)
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await
            .map_err(|error| NotConnected { address, reason: error.to_string() })?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.with_upgrades().await {
                log::debug!(address:% = address, error:% = error; "connection ended");
            }
        });
        Ok(Self { address, sender, driver, meter, write_end })
    }

    /// Returns whether another request can be sent. Bytes that arrive while none is in progress
    /// belong to no request, and end the connection.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns what closes the writing side while a response is awaited.
    pub fn write_end(&self) -> WriteEnd {
        self.write_end.clone()
    }

    /// Sends a request and returns once the response head has arrived.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends or fails, or switches to another protocol; the request may have
    /// been executed.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ServerBody>, BrokenConnection> {
        let response = self.send_upgrade(request).await?;
        // The HTTP library skips all other interim responses, but returns this one as if it were final.
        if response.status() == StatusCode::SWITCHING_PROTOCOLS {
            return Err(BrokenConnection::Switched { address: self.address });
        }
        Ok(response)
    }

    /// Sends a request that may switch the protocol, and returns once the response head has arrived.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends or fails; the request may have been executed.
    pub async fn send_upgrade(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<ServerBody>, BrokenConnection> {
        let (address, meter) = (self.address, self.meter.clone());
        let interim_meter = meter.clone();
        on_informational(&mut request, move |_| interim_meter.lock().record_interim());
        meter.lock().expect_head();
        let broken = |source| match meter.excess_bytes() {
            Some(bytes) => BrokenConnection::Endless { address, bytes },
            None => BrokenConnection::Failed { address, source },
        };
        self.sender.ready().await.map_err(broken)?;
        let response = self.sender.send_request(request).await.map_err(broken)?;
        let mut allowance = self.meter.lock();
        allowance.record_head();
        if response.status() == StatusCode::SWITCHING_PROTOCOLS {
            allowance.lift();
        }
        drop(allowance);
        Ok(response.map(|body| ServerBody::new(body, meter)))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
