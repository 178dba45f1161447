//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// The data of the event that ends a stream.
pub const DONE_DATA: &[u8] = b"[DONE]";

/// Splits a byte stream into server-sent events.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
}

/// One event: its bytes as they came, and its data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// The event's bytes, including the blank line that ends it.
    pub raw: Bytes,
    /// The value of its `data` field.
    pub data: Bytes,
}

impl SseParser {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")? + 2;
        let raw = self.buffer.split_to(end).freeze();
        let data = raw
            .split(|byte| *byte == b'\n')
            .find_map(|line| line.strip_prefix(b"data: "))
            .map(|data| raw.slice_ref(data))
            .unwrap_or_default();
        Some(SseEvent { raw, data })
    }

    /// Returns whether bytes of an unfinished event remain.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}
