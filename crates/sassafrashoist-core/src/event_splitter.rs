//! Splits the bytes of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event, including the empty line that ends it.
    pub raw: Bytes,
    /// The value of the `id` field, if the event has one.
    pub id: Option<String>,
}

impl StreamEvent {
    /// Returns the value of the first `data` line; empty when there is none.
    pub fn data(&self) -> Bytes {
        find_field(&self.raw, b"data: ").map(|data| self.raw.slice_ref(data)).unwrap_or_default()
    }
}

/// Buffers the bytes of an event stream and splits off complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = find_event_end(&self.pending)?;
        let raw = self.pending.split_to(end).freeze();
        let id =
            find_field(&raw, b"id:").map(|value| String::from_utf8_lossy(value).trim().to_owned());
        Some(StreamEvent { raw, id })
    }

    /// Returns whether a complete event is buffered.
    pub fn has_event(&self) -> bool {
        find_event_end(&self.pending).is_some()
    }

    /// Returns whether the buffered bytes hold a part of an event, once [`Self::next_event`] has
    /// returned `None`. Empty lines and comments are not part of an event.
    pub fn is_inside_event(&self) -> bool {
        let mut lines = self.pending[..].split(|byte| *byte == b'\n');
        lines.any(|line| !matches!(line, [] | b"\r" | [b':', ..]))
    }

    /// Removes and returns all buffered bytes: what follows the last complete event once
    /// [`Self::next_event`] has returned `None`.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn find_event_end(data: &[u8]) -> Option<usize> {
    (0..data.len()).find_map(|start| {
        let rest = &data[start..];
        if rest.starts_with(b"\n\n") {
            Some(start + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(start + 4)
        } else {
            None
        }
    })
}

fn find_field<'a>(event: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(name))
}
