//! A connection whose writing side can be closed while the HTTP library uses it.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection whose writing side can be closed while the HTTP library uses it.
#[derive(Debug)]
pub struct SharedStream<T>(Arc<Mutex<T>>);

impl<T: AsyncWrite + Unpin + Send + 'static> SharedStream<T> {
    /// Wraps a connection; the second value closes its writing side.
    pub fn new(stream: T) -> (Self, WriteEnd) {
        let shared = Arc::new(Mutex::new(stream));
        (Self(Arc::clone(&shared)), WriteEnd(shared))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for SharedStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.0)).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for SharedStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *lock(&self.0)).poll_write(cx, data)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *lock(&self.0)).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.0).is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.0)).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.0)).poll_shutdown(cx)
    }
}

/// Closes the writing side of a connection.
#[derive(Clone)]
pub struct WriteEnd(Arc<Mutex<dyn AsyncWrite + Unpin + Send>>);

impl WriteEnd {
    /// Closes the writing side. What the other side sends can still be read.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub async fn close(&self) -> io::Result<()> {
        std::future::poll_fn(|cx| Pin::new(&mut *lock(&*self.0)).poll_shutdown(cx)).await
    }
}

impl fmt::Debug for WriteEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("WriteEnd").finish_non_exhaustive()
    }
}

fn lock<T: ?Sized>(stream: &Mutex<T>) -> MutexGuard<'_, T> {
    stream.lock().unwrap_or_else(PoisonError::into_inner)
}
