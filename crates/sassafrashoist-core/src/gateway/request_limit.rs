//! How many requests a VM holds at a time.
//!
//! Callers stick to a VM, so that one busy account may fill one small VM while its neighbours are
//! idle. A process that exceeds the memory of its VM ends, and all its requests with it. The VM
//! therefore refuses requests that it could not hold, before it reads their bodies; a retry reaches
//! another VM.

use super::open_connection_limit::CONNECTION_BYTES;

/// The memory of a process with no requests in progress, including what it knows of hundreds of VMs
/// and servers, in bytes.
const IDLE_BYTES: u64 = 40 * 1024 * 1024;
/// The memory of one request in progress with its two connections, in bytes.
const REQUEST_BYTES: u64 = 64 * 1024;
/// The requests that a VM holds however little memory it has.
const MIN_REQUEST_COUNT: u64 = 32;

/// Bodies and events may hold this part of the memory of the requests, so that the rest stays for
/// new requests.
const HELD_DIVISOR: u64 = 2;

/// The number of requests that a VM holds at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimit {
    max_bytes: u64,
}

impl RequestLimit {
    /// Creates the limit of a VM with this memory; `None` if its memory is not limited.
    pub fn of_memory(memory_bytes: Option<u64>) -> Self {
        let max_bytes = memory_bytes.map_or(u64::MAX, |memory_bytes| {
            memory_bytes.saturating_sub(IDLE_BYTES).max(MIN_REQUEST_COUNT * REQUEST_BYTES)
        });
        Self { max_bytes }
    }

    /// Returns the limit beside this number of connections without a request in progress.
    pub fn beside_connections(self, connection_count: usize) -> Self {
        let connection_bytes = (connection_count as u64).saturating_mul(CONNECTION_BYTES);
        let free_bytes = self.max_bytes.saturating_sub(connection_bytes);
        Self { max_bytes: free_bytes.max(MIN_REQUEST_COUNT * REQUEST_BYTES) }
    }

    /// Returns the memory that requests and their connections may take, in bytes.
    pub(super) fn max_bytes(self) -> u64 {
        self.max_bytes
    }

    /// Returns whether the VM can hold this number of requests, whose bodies and events hold
    /// `held_bytes`.
    pub fn allows(self, request_count: usize, held_bytes: u64) -> bool {
        request_count as u64 <= MIN_REQUEST_COUNT
            || request_bytes(request_count).saturating_add(held_bytes) <= self.max_bytes
    }

    /// Returns how much the bodies and events of this number of requests may hold.
    pub fn max_held_bytes(self, request_count: usize) -> u64 {
        let free_bytes = self.max_bytes.saturating_sub(request_bytes(request_count));
        free_bytes.min(self.max_bytes / HELD_DIVISOR)
    }
}

/// Returns the memory of requests without long bodies and events.
fn request_bytes(request_count: usize) -> u64 {
    (request_count as u64).saturating_mul(REQUEST_BYTES)
}
