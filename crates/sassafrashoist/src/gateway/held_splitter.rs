//! The bytes of an event stream that are not forwarded yet.

use std::sync::Arc;

use bytes::Bytes;
use sassafrashoist_core::event_splitter::{EventSplitter, StreamEvent};
use sassafrashoist_core::gateway::memory_budget::HolderKind;

use super::gateway_context::GatewayContext;
use super::memory_share::MemoryShare;

/// An [`EventSplitter`] whose memory is counted.
#[derive(Debug)]
pub struct HeldSplitter {
    splitter: EventSplitter,
    share: Arc<MemoryShare>,
}

impl HeldSplitter {
    /// Creates a splitter without bytes.
    pub fn new(context: &Arc<GatewayContext>) -> Self {
        Self {
            splitter: EventSplitter::default(),
            share: MemoryShare::new(context, HolderKind::Response),
        }
    }

    /// Appends the next bytes of the stream; returns whether there is enough memory.
    #[must_use]
    pub fn try_push(&mut self, data: &[u8]) -> bool {
        let capacity = self.splitter.capacity();
        let new_capacity = self.splitter.capacity_after(data.len());
        if !self.share.try_hold(new_capacity - capacity) {
            return false;
        }
        self.splitter.push(data);
        self.release_from(new_capacity);
        true
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let capacity = self.splitter.capacity();
        let event = self.splitter.next_event();
        self.release_from(capacity);
        event
    }

    /// Returns whether a complete event is buffered.
    pub fn has_event(&mut self) -> bool {
        self.splitter.has_event()
    }

    /// Returns whether the buffered bytes exceed the longest event; see
    /// [`EventSplitter::is_too_long`].
    pub fn is_too_long(&self) -> bool {
        self.splitter.is_too_long()
    }

    /// Returns whether the buffered bytes hold a part of an event; see
    /// [`EventSplitter::is_inside_event`].
    pub fn is_inside_event(&self) -> bool {
        self.splitter.is_inside_event()
    }

    /// Removes and returns all buffered bytes.
    pub fn take_rest(&mut self) -> Bytes {
        let capacity = self.splitter.capacity();
        let rest = self.splitter.take_rest();
        self.release_from(capacity);
        rest
    }

    /// Returns the memory by which the buffer has shrunk since it had a capacity.
    fn release_from(&self, capacity: usize) {
        let released_bytes = capacity.saturating_sub(self.splitter.capacity());
        if released_bytes > 0 {
            self.share.release(released_bytes);
        }
    }
}
