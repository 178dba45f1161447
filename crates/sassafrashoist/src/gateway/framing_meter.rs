//! The framing allowance of a connection, shared by its reader and its messages.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sassafrashoist_core::gateway::framing_allowance::FramingAllowance;

/// The framing allowance of a connection, shared by its reader and its messages.
///
/// Whoever takes data out of the HTTP library holds the lock until that is recorded, so that the reader
/// never goes on reading before.
#[derive(Debug, Clone)]
pub struct FramingMeter(Arc<Mutex<FramingAllowance>>);

impl FramingMeter {
    /// Creates the allowance of a connection whose heads may have this length.
    pub fn new(max_head_bytes: usize) -> Self {
        Self(Arc::new(Mutex::new(FramingAllowance::new(max_head_bytes))))
    }

    /// Locks the allowance.
    pub fn lock(&self) -> MutexGuard<'_, FramingAllowance> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the bytes that were read without a head or data if no more is read for that reason.
    pub fn excess_bytes(&self) -> Option<usize> {
        self.lock().excess_bytes()
    }
}
