//! Splits the bytes of a server-sent event stream into complete events.

use bytes::Bytes;

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

/// The longest event. Bytes beyond it without the end of an event are no event stream.
const MAX_EVENT_BYTES: usize = 262_144;
/// The length of the longest empty line that ends an event, with the end of the line before it.
const MAX_EVENT_END_BYTES: usize = 4;

/// A buffer that is larger is not kept when it is empty.
const MAX_KEPT_BYTES: usize = 16_384;

/// Buffers the bytes of an event stream and splits off complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// The bytes at the start of the buffer that were split off.
    taken_bytes: usize,
    /// The bytes after those in which no event ends.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, data: &[u8]) {
        let capacity = self.capacity_after(data.len());
        self.discard_taken();
        self.buffer.reserve_exact(capacity - self.buffer.len());
        self.buffer.extend_from_slice(data);
    }

    /// Returns the memory of the buffer.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the memory of the buffer after `additional_bytes` more are pushed.
    pub fn capacity_after(&self, additional_bytes: usize) -> usize {
        let needed_bytes = self.pending().len() + additional_bytes;
        let capacity = self.buffer.capacity();
        if needed_bytes <= capacity {
            return capacity;
        }
        let grown_bytes = capacity + capacity / 2;
        // Short events must fit into the base that a stream may hold without permission.
        if needed_bytes <= MAX_KEPT_BYTES {
            needed_bytes.max(grown_bytes.min(MAX_KEPT_BYTES))
        } else {
            needed_bytes.max(grown_bytes)
        }
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = self.find_event_end() else {
            self.discard_taken();
            return None;
        };
        // A copy, as an event that is buffered for a slow caller would keep the whole buffer.
        let raw = Bytes::copy_from_slice(&self.pending()[..end]);
        self.taken_bytes += end;
        self.searched_bytes = 0;
        if self.pending().is_empty() {
            self.discard_taken();
        }
        let id =
            find_field(&raw, b"id:").map(|value| String::from_utf8_lossy(value).trim().to_owned());
        Some(StreamEvent { raw, id })
    }

    /// Returns whether a complete event is buffered.
    pub fn has_event(&mut self) -> bool {
        self.find_event_end().is_some()
    }

    /// Returns whether the buffered bytes exceed the longest event, once [`Self::next_event`] has
    /// returned `None`.
    pub fn is_too_long(&self) -> bool {
        self.pending().len() > MAX_EVENT_BYTES
    }

    /// Returns whether the buffered bytes hold a part of an event, once [`Self::next_event`] has
    /// returned `None`. Empty lines and comments are not part of an event.
    pub fn is_inside_event(&self) -> bool {
        let mut lines = self.pending().split(|byte| *byte == b'\n');
        lines.any(|line| !matches!(line, [] | b"\r" | [b':', ..]))
    }

    /// Removes and returns all buffered bytes: what follows the last complete event once
    /// [`Self::next_event`] has returned `None`.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.discard_taken();
        Bytes::from(std::mem::take(&mut self.buffer))
    }

    fn pending(&self) -> &[u8] {
        &self.buffer[self.taken_bytes..]
    }

    fn discard_taken(&mut self) {
        self.buffer.drain(..self.taken_bytes);
        self.taken_bytes = 0;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_KEPT_BYTES {
            self.buffer = Vec::new();
        }
    }

    fn find_event_end(&mut self) -> Option<usize> {
        let end = find_event_end(self.pending(), self.searched_bytes);
        if end.is_none() {
            self.searched_bytes = self.pending().len().saturating_sub(MAX_EVENT_END_BYTES - 1);
        }
        end
    }
}

fn find_event_end(data: &[u8], from: usize) -> Option<usize> {
    (from..data.len()).find_map(|start| {
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
