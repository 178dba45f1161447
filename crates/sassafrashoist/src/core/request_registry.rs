//! Numbers the requests that come without a caller's key.

use std::sync::atomic::{AtomicU64, Ordering};

use sassafrashoist_core::ids::{Incarnation, RequestKey};

/// Numbers the requests that come without a caller's key.
#[derive(Debug)]
pub struct RequestRegistry {
    prefix: String,
    next_number: AtomicU64,
}

impl RequestRegistry {
    /// Starts numbering for one incarnation of a VM.
    pub fn new(vm_id: &str, incarnation: Incarnation) -> Self {
        Self { prefix: format!("auto/{vm_id}-{incarnation}"), next_number: AtomicU64::new(1) }
    }

    /// Returns a key that no other request has.
    pub fn next_key(&self) -> RequestKey {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.prefix)
    }
}
