//! A body that is read into one buffer.

use std::sync::Arc;

use bytes::Bytes;
use sassafrashoist_core::gateway::memory_budget::HolderKind;

use super::gateway_context::GatewayContext;
use super::memory_share::MemoryShare;

/// A growing buffer whose memory is counted.
#[derive(Debug)]
pub struct HeldVec {
    data: Vec<u8>,
    share: Arc<MemoryShare>,
}

impl HeldVec {
    /// Creates an empty buffer.
    pub fn new(context: &Arc<GatewayContext>) -> Self {
        Self { data: Vec::new(), share: MemoryShare::new(context, HolderKind::RequestBody) }
    }

    /// Makes space for so many bytes more; returns whether there is enough memory.
    #[must_use]
    pub fn try_reserve(&mut self, additional_bytes: usize) -> bool {
        let capacity = self.data.capacity();
        let needed_bytes = self.data.len().saturating_add(additional_bytes);
        if needed_bytes <= capacity {
            return true;
        }
        let capacities = [needed_bytes.max(capacity + capacity / 2), needed_bytes];
        let is_held = |new_capacity: &usize| self.share.try_hold(new_capacity - capacity);
        let Some(new_capacity) = capacities.into_iter().find(is_held) else {
            return false;
        };
        // A VM without a memory limit cannot hold every length that a caller announces either.
        let is_reserved = self.data.try_reserve_exact(new_capacity - self.data.len()).is_ok();
        if !is_reserved {
            self.share.release(new_capacity - capacity);
        }
        is_reserved
    }

    /// Appends bytes; returns whether there is enough memory.
    #[must_use]
    pub fn try_extend(&mut self, data: &[u8]) -> bool {
        let is_reserved = self.try_reserve(data.len());
        if is_reserved {
            self.data.extend_from_slice(data);
        }
        is_reserved
    }

    /// Returns the bytes, whose memory is counted until the last reference to them is dropped.
    pub fn into_bytes(self) -> Bytes {
        self.share.wrap(self.data)
    }
}
