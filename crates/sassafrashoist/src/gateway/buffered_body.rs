//! A response body that is buffered until it is complete.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use sassafrashoist_core::gateway::memory_budget::HolderKind;

use super::gateway_context::GatewayContext;
use super::memory_share::MemoryShare;
use crate::util::streamed_body::IncompleteBody;

/// The size of the segments after the first one.
const SEGMENT_BYTES: usize = 8_192;

/// A response body that is buffered in segments. A buffer in one piece would be copied as it grows,
/// and its memory returned only when the caller has read all of it.
#[derive(Debug)]
pub struct BufferedBody {
    segments: VecDeque<Bytes>,
    /// The segment that is not full.
    last_segment: Vec<u8>,
    length: usize,
    share: Arc<MemoryShare>,
}

impl BufferedBody {
    /// Creates an empty body.
    pub fn new(context: &Arc<GatewayContext>) -> Self {
        Self {
            segments: VecDeque::new(),
            last_segment: Vec::new(),
            length: 0,
            share: MemoryShare::new(context, HolderKind::Response),
        }
    }

    /// Returns the number of bytes that the body has left.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body has no bytes left.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends bytes; returns false, and appends nothing, if there is not enough memory.
    #[must_use]
    pub fn try_push(&mut self, data: &[u8]) -> bool {
        if self.last_segment.capacity() - self.last_segment.len() < data.len() {
            // Most bodies are short and arrive at once.
            let min_bytes = if self.is_empty() { 0 } else { SEGMENT_BYTES };
            let segment_bytes = data.len().max(min_bytes);
            if !self.share.try_hold(segment_bytes) {
                return false;
            }
            self.finish_segment();
            self.last_segment = Vec::with_capacity(segment_bytes);
        }
        self.last_segment.extend_from_slice(data);
        self.length += data.len();
        true
    }

    /// Returns the share that holds the memory, and the segments.
    pub fn into_parts(mut self) -> (Arc<MemoryShare>, VecDeque<Bytes>) {
        self.finish_segment();
        (self.share, self.segments)
    }

    fn finish_segment(&mut self) {
        let segment = std::mem::take(&mut self.last_segment);
        if !segment.is_empty() {
            self.segments.push_back(self.share.wrap(segment));
        }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        self.finish_segment();
        let segment = self.segments.pop_front();
        self.length -= segment.as_ref().map_or(0, Bytes::len);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}
