//! The signals that close connections during a graceful shutdown.

use tokio_util::sync::CancellationToken;

/// The signals that close connections during a graceful shutdown.
#[derive(Debug, Clone, Default)]
pub struct ClosingSignals {
    /// Cancelled to close the listener, and each connection after the request that is being read or
    /// in progress.
    pub closing: CancellationToken,
    /// Cancelled to close also the connections on which nothing has been received.
    pub closing_opened: CancellationToken,
}
