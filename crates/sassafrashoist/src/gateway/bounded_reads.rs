//! A connection that is read in pieces of bounded size.
//!
//! The HTTP library doubles its read buffer, up to the longest head, while reads fill it, and a piece of
//! a body keeps the whole buffer that it was read into.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

/// The most bytes that are read at once; one fewer than the first read buffer of the HTTP library.
const MAX_READ_BYTES: u64 = 8_191;

/// A connection that is read in pieces of at most [`MAX_READ_BYTES`].
#[derive(Debug)]
pub struct BoundedReads<T> {
    io: Take<T>,
}

impl<T: AsyncRead> BoundedReads<T> {
    /// Wraps a connection.
    pub fn new(io: T) -> Self {
        Self { io: io.take(MAX_READ_BYTES) }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedReads<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.io.set_limit(MAX_READ_BYTES);
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for BoundedReads<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.io.get_mut()).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.io.get_mut()).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.io.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.io.get_mut()).poll_shutdown(cx)
    }
}
