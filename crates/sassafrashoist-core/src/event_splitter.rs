//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event with the empty line that ends it.
    pub raw: Bytes,
    /// The id that the event carries.
    pub id: Option<String>,
}

impl StreamEvent {
    /// Returns the value of the `data` field, or nothing.
    pub fn data(&self) -> Bytes {
        find_field(&self.raw, b"data: ").map(|data| self.raw.slice_ref(data)).unwrap_or_default()
    }
}

/// Splits the bytes of an event stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Takes the next bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = find_event_end(&self.pending)?;
        let raw = self.pending.split_to(end).freeze();
        let id =
            find_field(&raw, b"id:").map(|value| String::from_utf8_lossy(value).trim().to_owned());
        Some(StreamEvent { raw, id })
    }

    /// Returns whether a whole event is there.
    pub fn has_event(&self) -> bool {
        find_event_end(&self.pending).is_some()
    }

    /// Takes out the bytes after the last whole event.
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
