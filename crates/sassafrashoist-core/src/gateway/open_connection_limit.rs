//! How many connections callers may keep open to a VM.
//!
//! Each open connection takes memory and a descriptor, also between two requests. Callers that are
//! refused come back on new connections and keep them. A process that exceeds the memory of its VM
//! ends, and one without descriptors reaches no server. The VM therefore announces the end of
//! connections in its responses from a first mark on, closes those that have been idle longest from a
//! second one on, and turns new ones away at the limit if none is idle.

use super::request_limit::RequestLimit;

/// The memory of a connection without a request in progress, in bytes.
pub const CONNECTION_BYTES: u64 = 24 * 1024;
/// Connections may take this part of the memory that requests may take.
const MEMORY_DIVISOR: u64 = 2;
/// The descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;
/// The descriptors for the listeners, the log service and other VMs.
const OWN_DESCRIPTORS: u64 = 100;
/// A request takes a descriptor for its caller and one for its server.
const DESCRIPTORS_PER_REQUEST: u64 = 2;
/// The connections that callers may keep however little memory and however few descriptors there are.
const MIN_CONNECTION_COUNT: u64 = 64;
/// From this part of the limit on, responses end their connections.
const ENDING_FRACTION: f64 = 0.75;
/// From this part of the limit on, the connections that have been idle longest are closed.
const CLOSING_FRACTION: f64 = 0.875;
/// This part of the limit may be about to be closed beyond it.
const CLOSING_DIVISOR: u64 = 16;

/// The number of connections that callers may keep open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenConnectionLimit {
    max_count: u64,
}

impl OpenConnectionLimit {
    /// Creates the limit of a VM with this memory and this number of descriptors; `None` means that
    /// there is no such limit.
    pub fn new(memory_bytes: Option<u64>, descriptor_count: Option<u64>) -> Self {
        let max_bytes = RequestLimit::of_memory(memory_bytes).max_bytes();
        let by_memory = max_bytes / MEMORY_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = descriptor_count.map_or(u64::MAX, |count| {
            count.saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS) / DESCRIPTORS_PER_REQUEST
        });
        Self { max_count: by_memory.min(by_descriptors).max(MIN_CONNECTION_COUNT) }
    }

    /// Returns whether another connection may be accepted beside this number.
    pub fn allows_another(self, connection_count: usize) -> bool {
        (connection_count as u64) < self.max_count
    }

    /// Returns whether another connection may be accepted beside this number in place of one that is
    /// about to be closed.
    pub fn allows_replacement(self, connection_count: usize) -> bool {
        (connection_count as u64) < self.max_count + self.max_count / CLOSING_DIVISOR
    }

    /// Returns whether a response ends its connection while this number is open.
    pub fn ends_connections(self, connection_count: usize) -> bool {
        connection_count as f64 > self.max_count as f64 * ENDING_FRACTION
    }

    /// Returns whether idle connections are closed while this number is open.
    pub fn closes_idle(self, connection_count: usize) -> bool {
        connection_count as f64 > self.max_count as f64 * CLOSING_FRACTION
    }
}
