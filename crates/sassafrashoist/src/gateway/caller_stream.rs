//! The connection of a caller.
//!
//! A connection that is closed with unread bytes is reset, which can take the response with it. If a
//! response ends the connection while the caller still sends the head or body of its request, or has
//! sent more than was read, the connection is therefore read until the caller closes it, at most for
//! [`LINGER_TIME`].
//!
//! A response without length or chunks is complete for its caller when its connection is closed
//! properly. While such a response is in progress, the connection is set to be reset when it is
//! dropped, which the kernel does even if the process is killed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use sassafrashoist_core::gateway::connection_phase::ConnectionPhase;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use super::caller_socket::CallerSocket;
use super::open_connection::OpenConnection;

/// How long a connection is read after its last response.
pub const LINGER_TIME: Duration = Duration::from_secs(1);

/// Makes the connection end with a reset unless its response is written to its end.
#[derive(Debug, Clone, Default)]
pub struct ResetSwitch(Arc<AtomicBool>);

impl ResetSwitch {
    /// Turns the switch on for the rest of the connection.
    pub fn turn_on(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_on(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The connection of a caller.
#[derive(Debug)]
pub struct CallerStream {
    socket: CallerSocket,
    connection: Arc<OpenConnection>,
    reset_switch: ResetSwitch,
    resets_when_dropped: bool,
    /// The end of [`LINGER_TIME`], once the connection is closed for writing.
    linger_end: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(
        socket: CallerSocket,
        connection: Arc<OpenConnection>,
        reset_switch: ResetSwitch,
    ) -> Self {
        Self { socket, connection, reset_switch, resets_when_dropped: false, linger_end: None }
    }

    fn set_reset_when_dropped(&mut self, resets: bool) {
        // A connection that is closed with a linger time of zero is reset.
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = set_socket_linger(&*self.socket.lock(), linger) {
            log::warn!(error:% = error; "failed to set how a caller's connection ends");
        }
        self.resets_when_dropped = resets;
    }

    /// Reads and discards what the caller still sends, until it closes the connection.
    fn poll_linger(&mut self, end: &mut Pin<Box<Sleep>>, cx: &mut Context<'_>) -> Poll<()> {
        if end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        self.socket.poll_discard(cx)
    }

    /// Returns whether the caller has sent bytes that were not read.
    fn has_unread_bytes(&self, cx: &mut Context<'_>) -> bool {
        let mut byte = [0];
        let peeked = self.socket.lock().poll_peek(cx, &mut ReadBuf::new(&mut byte));
        matches!(peeked, Poll::Ready(Ok(1..)))
    }

    fn apply_reset_switch(&mut self) {
        if self.reset_switch.is_on() && !self.resets_when_dropped {
            self.set_reset_when_dropped(true);
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let earlier_bytes = buffer.filled().len();
        let result = Pin::new(&mut *self.socket.lock()).poll_read(cx, buffer);
        self.connection.record_read(&buffer.filled()[earlier_bytes..]);
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_reset_switch();
        self.connection.record_write();
        Pin::new(&mut *self.socket.lock()).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_reset_switch();
        self.connection.record_write();
        Pin::new(&mut *self.socket.lock()).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.lock().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written all that it has buffered.
        self.connection.record_written();
        Pin::new(&mut *self.socket.lock()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets_when_dropped {
            self.set_reset_when_dropped(false);
        }
        let mut linger_end = match self.linger_end.take() {
            Some(linger_end) => linger_end,
            None => {
                ready!(Pin::new(&mut *self.socket.lock()).poll_shutdown(cx))?;
                let is_request_unfinished = self.connection.is_body_unfinished()
                    || self.connection.phase() == ConnectionPhase::ReadingHead;
                if !is_request_unfinished && !self.has_unread_bytes(cx) {
                    return Poll::Ready(Ok(()));
                }
                Box::pin(tokio::time::sleep(LINGER_TIME))
            }
        };
        let lingered = self.poll_linger(&mut linger_end, cx);
        self.linger_end = Some(linger_end);
        lingered.map(Ok)
    }
}
