//! A stream that this VM forwards and whose origin has to be in the log.

use std::sync::Arc;

use sassafrashoist_core::gateway::origin_batch::{StoredStreamKey, stored_stream_key};

use super::gateway_context::GatewayContext;
use super::request_context::{RequestContext, ResumedStream};

/// A stream that this VM forwards and whose origin has to be in the log. Dropping it records that the
/// stream was broken off, unless it is marked as complete.
#[derive(Debug)]
pub struct StreamInProgress {
    context: Arc<GatewayContext>,
    key: StoredStreamKey,
    is_complete: bool,
}

impl StreamInProgress {
    /// Records that a response forwards a stream; `None` if its caller could not resume it.
    ///
    /// A stream that its caller resumed is known by the attempt that began it.
    pub fn begin(
        context: &Arc<GatewayContext>,
        request: &RequestContext,
        stream: &ResumedStream,
    ) -> Option<Self> {
        if !request.is_resumable() {
            return None;
        }
        let caller = &request.caller;
        let first_id = match request.is_resumption() {
            true => caller.resumed_request_id.as_deref(),
            false => caller.request_id.as_deref(),
        };
        let key = stored_stream_key(first_id?, request.account_id.as_deref());
        context.lock_origin_outbox().record_begun(key, stream.origin.clone());
        Some(Self { context: Arc::clone(context), key, is_complete: false })
    }

    /// Marks the stream as forwarded to its end.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for StreamInProgress {
    fn drop(&mut self) {
        let now = self.context.now();
        self.context.lock_origin_outbox().record_ended(self.key, self.is_complete, now);
    }
}
