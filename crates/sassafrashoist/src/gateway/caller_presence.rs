//! Whether the caller of a request is still there, asked before the request is sent to a server.
//!
//! While this VM runs, it notices within a short time that a caller leaves. After the VM stood still,
//! the end of a caller's stream may have lain in the buffers for longer, beside the request itself.

use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::caller_check::{CHECK_INTERVAL, ResponseProgress};
use tokio::net::TcpStream;

use super::caller_socket::{CallerSocket, StreamState};
use super::open_connection::OpenConnection;

/// How long the connection of a caller that left may take to fail after bytes were sent to it.
const ASK_TIME: Duration = Duration::from_millis(25);
/// How long the check of a caller that cannot be asked at once may take: it looks, sends, looks again.
const CHECK_TIME: Duration = Duration::from_millis(3 * CHECK_INTERVAL.as_millis() as u64);
/// How long a caller that was there is not asked again.
const MAX_CONFIRMED_TIME: Duration = Duration::from_millis(200);

/// Whether the caller of a request is still there.
///
/// It does not keep the connection open.
#[derive(Debug, Clone)]
pub struct CallerPresence {
    socket: Weak<Mutex<TcpStream>>,
    connection: Weak<OpenConnection>,
    confirmed_at: Arc<Mutex<Option<Uptime>>>,
}

impl CallerPresence {
    /// Creates the presence of the caller at the other end of a connection.
    pub fn new(socket: &CallerSocket, connection: &Arc<OpenConnection>) -> Self {
        Self {
            socket: socket.downgrade(),
            connection: Arc::downgrade(connection),
            confirmed_at: Arc::default(),
        }
    }

    /// Returns whether the caller is still there, as far as can be known. A caller whose stream has
    /// ended is sent an interim response, which resets the connection of one that left.
    pub async fn confirm(&self, now: Uptime) -> bool {
        let confirmed_at = *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        if confirmed_at.is_some_and(|at| now < at + MAX_CONFIRMED_TIME) {
            return true;
        }
        let is_there = match self.state() {
            StreamState::Open => true,
            StreamState::Failed => false,
            StreamState::Ended => self.ask().await,
        };
        *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
        is_there
    }

    fn state(&self) -> StreamState {
        let socket = self.socket.upgrade().map(CallerSocket::from_shared);
        socket.map_or(StreamState::Failed, |socket| socket.stream_state())
    }

    async fn ask(&self) -> bool {
        let (Some(socket), Some(connection)) = (self.socket.upgrade(), self.connection.upgrade())
        else {
            return false;
        };
        let socket = CallerSocket::from_shared(socket);
        let is_asked = connection.response_progress() == ResponseProgress::NotStarted;
        if is_asked && socket.send_interim().is_err() {
            return false;
        }
        drop((socket, connection));
        tokio::time::sleep(if is_asked { ASK_TIME } else { CHECK_TIME }).await;
        let socket = self.socket.upgrade().map(CallerSocket::from_shared);
        socket.is_some_and(|socket| socket.check().is_ok())
    }
}
