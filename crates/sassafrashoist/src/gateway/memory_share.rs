//! The memory that the body or the events of one request hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use sassafrashoist_core::gateway::memory_budget::{HolderKind, MemoryBudget};
use tokio::sync::Notify;

use super::gateway_context::GatewayContext;
use super::held_bytes::HeldBytes;

/// The memory that the body or the events of one request hold; dropping it returns the memory.
#[derive(Debug)]
pub struct MemoryShare {
    context: Arc<GatewayContext>,
    kind: HolderKind,
    held_bytes: AtomicU64,
    released: Notify,
}

impl MemoryShare {
    /// Creates a share that holds nothing.
    pub fn new(context: &Arc<GatewayContext>, kind: HolderKind) -> Arc<Self> {
        Arc::new(Self {
            context: Arc::clone(context),
            kind,
            held_bytes: AtomicU64::new(0),
            released: Notify::new(),
        })
    }

    /// Holds more memory; returns whether there is enough.
    #[must_use]
    pub fn try_hold(&self, bytes: usize) -> bool {
        let limit = self.context.request_limit();
        let request_count = self.context.requests.len();
        let mut budget = self.context.lock_memory();
        let share_bytes = self.held_bytes.load(Ordering::Acquire);
        let is_held = budget.try_hold(self.kind, limit, request_count, share_bytes, bytes as u64);
        if is_held {
            self.held_bytes.fetch_add(bytes as u64, Ordering::AcqRel);
        } else {
            publish(&budget);
        }
        is_held
    }

    /// Wraps bytes that are on their way to a caller and keep no larger buffer; waits until enough of
    /// those before them are sent.
    pub async fn hold(self: &Arc<Self>, data: Bytes) -> Bytes {
        while !self.try_hold(data.len()) {
            if self.held_bytes.load(Ordering::Acquire) == 0 {
                self.context.lock_memory().hold(self.kind, data.len() as u64);
                self.held_bytes.fetch_add(data.len() as u64, Ordering::AcqRel);
                break;
            }
            self.released.notified().await;
        }
        let held_bytes = data.len();
        Bytes::from_owner(HeldBytes::new(data, held_bytes, Arc::clone(self)))
    }

    /// Wraps bytes whose capacity the share holds; it holds them until the last reference to them is dropped.
    pub fn wrap(self: &Arc<Self>, data: Vec<u8>) -> Bytes {
        let held_bytes = data.capacity();
        Bytes::from_owner(HeldBytes::new(Bytes::from(data), held_bytes, Arc::clone(self)))
    }

    /// Returns memory.
    pub fn release(&self, bytes: usize) {
        self.held_bytes.fetch_sub(bytes as u64, Ordering::AcqRel);
        self.context.lock_memory().release(self.kind, bytes as u64);
        self.released.notify_one();
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let held_bytes = *self.held_bytes.get_mut();
        let mut budget = self.context.lock_memory();
        budget.release(self.kind, held_bytes);
        publish(&budget);
    }
}

/// Publishes how much bodies and events hold; not for each piece, which would cost more than the piece.
fn publish(budget: &MemoryBudget) {
    metrics::gauge!("sassafrashoist_held_body_bytes").set(budget.held_bytes() as f64);
}
