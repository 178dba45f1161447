//! A connection that is read in pieces of bounded size, and not without end.
//!
//! The HTTP library parses all that it can read before it lets other tasks run. This process has one
//! thread, so that a peer that sends framing without end would keep it. The reader beneath the library
//! therefore yields, and fails once the peer has used its allowance up.
//!
//! The HTTP library doubles its read buffer, up to the longest head, while reads fill it, and a piece of
//! a body keeps the whole buffer that it was read into. Each read is therefore shorter than the first
//! buffer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use sassafrashoist_core::gateway::framing_allowance::ReadStep;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::framing_meter::FramingMeter;

/// The most bytes that are read at once; one fewer than the first read buffer of the HTTP library.
const MAX_READ_BYTES: usize = 8_191;

/// A connection that is read in pieces of bounded size, and not without end.
#[derive(Debug)]
pub struct MeteredStream<T> {
    stream: T,
    meter: FramingMeter,
}

impl<T> MeteredStream<T> {
    /// Wraps a connection.
    pub fn new(stream: T, meter: FramingMeter) -> Self {
        Self { stream, meter }
    }
}

impl<T: AsyncRead + Unpin> MeteredStream<T> {
    /// Reads at most `max_bytes` into a buffer.
    fn poll_read_part(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<()>> {
        let max_bytes = max_bytes.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read_bytes = part.filled().len();
        buffer.advance(read_bytes);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let earlier_bytes = buffer.filled().len();
        let step = self.meter.lock().next_step();
        let result = match step {
            ReadStep::Read => self.poll_read_part(cx, buffer, MAX_READ_BYTES),
            ReadStep::ReadAtMost(max_bytes) => {
                self.poll_read_part(cx, buffer, max_bytes.min(MAX_READ_BYTES))
            }
            ReadStep::Yield => {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            ReadStep::Stop => {
                let reason = "too many bytes without a head or data";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
            }
        };
        let mut allowance = self.meter.lock();
        match &result {
            Poll::Ready(_) => allowance.record_read(&buffer.filled()[earlier_bytes..]),
            Poll::Pending => allowance.record_wait(),
        }
        drop(allowance);
        result
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
