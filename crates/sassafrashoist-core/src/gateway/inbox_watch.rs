//! How long a datagram may have waited before this VM read it.
//!
//! A datagram says what was true when it was sent. In a VM that is short of processor time it waits in the
//! socket, each for another time and without a trace. What is read now has come after the socket was
//! last seen empty.

use std::time::Duration;

use super::Uptime;

/// When the socket for datagrams was empty last.
#[derive(Debug, Default)]
pub struct InboxWatch {
    emptied_at: Uptime,
}

impl InboxWatch {
    /// Records that no datagram waited.
    pub fn record_empty(&mut self, now: Uptime) {
        self.emptied_at = self.emptied_at.max(now);
    }

    /// Returns for how long a datagram that is read now may have waited.
    pub fn longest_wait(&self, now: Uptime) -> Duration {
        now.saturating_sub(self.emptied_at)
    }
}
