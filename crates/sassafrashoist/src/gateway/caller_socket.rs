//! The socket of a caller.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, ready};

use futures::FutureExt;
use rustix::io::Errno;
use rustix::net::RecvFlags;
use sassafrashoist_core::gateway::caller_check::CHECK_INTERVAL;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use super::caller_stream::LINGER_TIME;

/// An interim response that says nothing but that the request has been received.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// The response to a head that does not arrive in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// The most bytes that are read at once to be discarded.
const DISCARD_CHUNK_BYTES: usize = 4_096;

/// What has become of the stream that a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamState {
    /// More may come.
    Open,
    /// The caller has left, or only sends no more.
    Ended,
    /// The connection has failed.
    Failed,
}

/// The socket of a caller, which the HTTP library and the checks of the caller share. The lock is held
/// for a single call of the kernel.
#[derive(Debug, Clone)]
pub struct CallerSocket(Arc<Mutex<TcpStream>>);

impl CallerSocket {
    /// Returns the socket that others share.
    pub fn from_shared(tcp: Arc<Mutex<TcpStream>>) -> Self {
        Self(tcp)
    }

    /// Returns a reference that does not keep the socket open.
    pub fn downgrade(&self) -> Weak<Mutex<TcpStream>> {
        Arc::downgrade(&self.0)
    }

    /// Wraps an accepted connection.
    pub fn new(tcp: TcpStream) -> Self {
        Self(Arc::new(Mutex::new(tcp)))
    }

    /// Returns the connection.
    pub fn lock(&self) -> MutexGuard<'_, TcpStream> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the caller has closed its writing side.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed.
    pub async fn wait_for_end(&self) -> io::Result<()> {
        while self.wait_for_input().await? && !self.is_end_received()? {
            // Unread bytes keep the socket readable, so that the end behind them wakes nobody.
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until there are unread bytes, or the end of the stream is next; returns whether there are
    /// bytes.
    async fn wait_for_input(&self) -> io::Result<bool> {
        std::future::poll_fn(|cx| {
            let mut byte = [0];
            let peeked = self.lock().poll_peek(cx, &mut ReadBuf::new(&mut byte));
            peeked.map_ok(|count| count > 0)
        })
        .await
    }

    /// Returns whether the end of the stream has been received, read or not.
    fn is_end_received(&self) -> io::Result<bool> {
        let ready = self.lock().ready(Interest::READABLE).now_or_never().transpose()?;
        Ok(ready.is_some_and(|ready| ready.is_read_closed()))
    }

    /// Returns whether the kernel holds bytes of the caller that were not read, or the end of its
    /// stream, whatever this process has been told of them.
    pub fn is_readable(&self) -> bool {
        let mut byte = [0_u8];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        rustix::net::recv(&*self.lock(), &mut byte[..], flags).is_ok()
    }

    /// Returns what has become of the stream of the caller, whatever this process has been told of it.
    pub fn stream_state(&self) -> StreamState {
        let mut byte = [0_u8];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match rustix::net::recv(&*self.lock(), &mut byte[..], flags) {
            Ok((_, 0)) => StreamState::Ended,
            Ok(_) => match self.is_end_received() {
                Ok(true) => StreamState::Ended,
                Ok(false) => StreamState::Open,
                Err(_) => StreamState::Failed,
            },
            Err(Errno::AGAIN | Errno::INTR) => StreamState::Open,
            Err(_) => StreamState::Failed,
        }
    }

    /// Fails if the connection has failed since the last call.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub fn check(&self) -> io::Result<()> {
        self.lock().take_error()?.map_or(Ok(()), Err)
    }

    /// Reads and discards what the caller still sends, until it closes the connection or that fails.
    pub fn poll_discard(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0; DISCARD_CHUNK_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut chunk);
            match ready!(Pin::new(&mut *self.lock()).poll_read(cx, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }

    /// Responds to a head that has not arrived in time, as [`Self::refuse`] does.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed.
    pub async fn refuse_late_head(&self) -> io::Result<()> {
        self.refuse(HEAD_TIMEOUT_RESPONSE).await
    }

    /// Sends a whole response to a request that is not read, and closes the connection once the caller
    /// does, at the latest after [`LINGER_TIME`]. Nothing of another response may be left to be written.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed.
    pub async fn refuse(&self, response: &[u8]) -> io::Result<()> {
        self.lock().try_write(response)?;
        std::future::poll_fn(|cx| Pin::new(&mut *self.lock()).poll_shutdown(cx)).await?;
        let discarded = std::future::poll_fn(|cx| self.poll_discard(cx));
        // A caller that sends on does not hold the connection.
        let _ = tokio::time::timeout(LINGER_TIME, discarded).await;
        Ok(())
    }

    /// Sends an interim response if there is room for it. Nothing of another response may be left to be
    /// written.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed, or when only a part of the response was sent.
    pub fn send_interim(&self) -> io::Result<()> {
        self.send(INTERIM_RESPONSE)
    }

    /// Sends a leading zero of the length of the next chunk if there is room for it. All chunks that were
    /// begun must have been written.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed.
    pub fn send_leading_zero(&self) -> io::Result<()> {
        self.send(b"0")
    }

    fn send(&self, bytes: &[u8]) -> io::Result<()> {
        match self.lock().try_write(bytes) {
            Ok(written_bytes) if written_bytes < bytes.len() => {
                Err(io::ErrorKind::WriteZero.into())
            }
            Ok(_) => Ok(()),
            // The caller has not read its earlier responses yet.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }
}
