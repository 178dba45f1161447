//! The socket of a caller.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use http::StatusCode;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::caller_stream::LINGER_TIME;

/// An interim response that says nothing but that the request has been received.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// The most bytes that are read at once to be discarded.
const DISCARD_CHUNK_BYTES: usize = 4_096;

/// The socket of a caller, which the HTTP library and the check of the caller share. Both run in one
/// task, so that the lock is never waited for.
#[derive(Debug, Clone)]
pub struct CallerSocket(Arc<Mutex<TcpStream>>);

impl CallerSocket {
    /// Wraps an accepted connection.
    pub fn new(tcp: TcpStream) -> Self {
        Self(Arc::new(Mutex::new(tcp)))
    }

    /// Returns the connection.
    pub fn lock(&self) -> MutexGuard<'_, TcpStream> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the caller has closed its writing side. Bytes that have not been read hide the end
    /// behind them.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed.
    pub async fn wait_for_end(&self) -> io::Result<()> {
        std::future::poll_fn(|cx| {
            let mut byte = [0];
            match self.lock().poll_peek(cx, &mut ReadBuf::new(&mut byte)) {
                Poll::Ready(Ok(0)) => Poll::Ready(Ok(())),
                Poll::Ready(Ok(_)) | Poll::Pending => Poll::Pending,
                Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            }
        })
        .await
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

    /// Responds to a head that is not read to its end, and closes the connection once the caller does,
    /// at the latest after [`LINGER_TIME`]. Nothing of another response may be left to be written.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed.
    pub async fn refuse_head(&self, status: StatusCode) -> io::Result<()> {
        let response =
            format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        self.lock().try_write(response.as_bytes())?;
        std::future::poll_fn(|cx| Pin::new(&mut *self.lock()).poll_shutdown(cx)).await?;
        let discarded = std::future::poll_fn(|cx| self.poll_discard(cx));
        // A caller that sends on does not hold the connection.
        let _ = tokio::time::timeout(LINGER_TIME, discarded).await;
        Ok(())
    }

    /// Sends an interim response. Nothing of another response may be left to be written.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed, or when the caller has not read for so long that there is
    /// no room for the response.
    pub fn send_interim(&self) -> io::Result<()> {
        let written_bytes = self.lock().try_write(INTERIM_RESPONSE)?;
        if written_bytes < INTERIM_RESPONSE.len() {
            return Err(io::ErrorKind::WriteZero.into());
        }
        Ok(())
    }
}
