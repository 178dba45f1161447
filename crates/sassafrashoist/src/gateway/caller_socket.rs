//! The socket of a caller.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;

use rustix::net::RecvFlags;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// An interim response that says nothing but that the request has been received.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

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

    /// Returns whether the kernel holds bytes of the caller that were not read, or the end of its
    /// stream, whatever this process has been told of them.
    pub fn is_readable(&self) -> bool {
        let mut byte = [0_u8];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        rustix::net::recv(&*self.lock(), &mut byte[..], flags).is_ok()
    }

    /// Fails if the connection has failed since the last call.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub fn check(&self) -> io::Result<()> {
        self.lock().take_error()?.map_or(Ok(()), Err)
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
