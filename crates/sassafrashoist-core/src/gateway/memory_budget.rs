//! How much memory the bodies and events of all requests in progress may hold.
//!
//! Each body and event is limited by itself, but some hundred long ones would exceed the memory of a
//! VM. As in a switch whose ports share a buffer, the limit of each holder depends on what is free:
//! a holder may hold no more than is left free after it, so that the more is held, the less each one
//! may hold, and some always stays free for those that come. A small base needs no permission. It is
//! part of the memory that [`RequestLimit`](super::request_limit::RequestLimit) counts for a request.

use super::request_limit::RequestLimit;

/// What a holder may hold however little is free, in bytes.
pub const BASE_BYTES: u64 = 16 * 1024;
/// The bodies of requests may hold this part of the memory, so that callers who announce long bodies
/// leave enough for responses.
const REQUEST_BODY_FRACTION: f64 = 2.0 / 3.0;

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderKind {
    /// The body of a caller's request.
    RequestBody,
    /// The body or the events of a server's response.
    Response,
}

/// The memory that the bodies and events of all requests in progress hold.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    held_bytes: u64,
    /// Those of `held_bytes` that the bodies of requests hold.
    request_body_bytes: u64,
}

impl MemoryBudget {
    /// Returns the bytes that all holders hold.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Lets a holder that holds `share_bytes` hold `more_bytes`; returns whether it may. The VM has
    /// this limit and this number of requests in progress.
    #[must_use]
    pub fn try_hold(
        &mut self,
        kind: HolderKind,
        limit: RequestLimit,
        request_count: usize,
        share_bytes: u64,
        more_bytes: u64,
    ) -> bool {
        let share_bytes = share_bytes.saturating_add(more_bytes);
        let max_bytes = limit.max_held_bytes(request_count);
        let mut free_bytes = max_bytes.saturating_sub(self.held_bytes.saturating_add(more_bytes));
        if kind == HolderKind::RequestBody {
            let body_bytes = self.request_body_bytes.saturating_add(more_bytes);
            let max_body_bytes = (max_bytes as f64 * REQUEST_BODY_FRACTION) as u64;
            free_bytes = free_bytes.min(max_body_bytes.saturating_sub(body_bytes));
        }
        let is_allowed = share_bytes <= BASE_BYTES || share_bytes <= free_bytes;
        if is_allowed {
            self.hold(kind, more_bytes);
        }
        is_allowed
    }

    /// Records bytes that a holder holds whatever is free: it cannot go on without them.
    pub fn hold(&mut self, kind: HolderKind, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_add(bytes);
        if kind == HolderKind::RequestBody {
            self.request_body_bytes = self.request_body_bytes.saturating_add(bytes);
        }
    }

    /// Returns bytes that a holder no longer holds.
    pub fn release(&mut self, kind: HolderKind, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
        if kind == HolderKind::RequestBody {
            self.request_body_bytes = self.request_body_bytes.saturating_sub(bytes);
        }
    }
}
