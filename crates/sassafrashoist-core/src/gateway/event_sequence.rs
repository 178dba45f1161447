//! Checks that the events of a stream that several servers send follow each other.
//!
//! A segment is the part of a stream that one server sends. What a server sends in place of the
//! rest of a stream, such as the text of an error or the events of another run, must not be joined
//! to the segment before it.

use crate::event_splitter::StreamEvent;

/// The start of a response head, which is no line of an event.
const RESPONSE_HEAD: &[u8] = b"HTTP/1.";

/// What to do with the next event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventCheck {
    /// It belongs to the stream.
    Forward,
    /// It was forwarded before.
    Duplicate,
    /// It does not belong to the stream, for this reason.
    Foreign(&'static str),
}

/// The ids of the events of a stream, over all its segments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventSequence {
    last_id: Option<String>,
    has_event: bool,
    /// Whether each event had the id after that of the event before it, from 1 on.
    is_consecutive: bool,
    /// Whether no event of the segment has been forwarded, and earlier segments had events.
    is_at_continuation: bool,
}

impl EventSequence {
    /// Creates the sequence of a stream that goes on after the event `last_id`, or begins.
    pub fn new(last_id: Option<String>) -> Self {
        let is_at_continuation = last_id.is_some();
        Self { last_id, is_at_continuation, ..Self::default() }
    }

    /// Returns the id of the last event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Records that another server sends the events from now on.
    pub fn begin_segment(&mut self) {
        self.is_at_continuation = self.last_id.is_some();
    }

    /// Checks the next event, and records it if it belongs to the stream.
    pub fn check(&mut self, event: &StreamEvent) -> EventCheck {
        if event.raw.starts_with(RESPONSE_HEAD) {
            return EventCheck::Foreign("response head inside a stream");
        }
        if is_comment(event) {
            return EventCheck::Forward;
        }
        let Some(id) = &event.id else {
            return match self.is_at_continuation {
                true => EventCheck::Foreign("continuation without the id of an event"),
                false => EventCheck::Forward,
            };
        };
        let number = id.parse::<u64>().ok();
        let last_number = self.last_id.as_deref().and_then(|last| last.parse::<u64>().ok());
        let follows = match (number, last_number) {
            (Some(number), Some(last)) if number <= last => {
                return match self.is_at_continuation {
                    true => EventCheck::Foreign("continuation begins with an earlier event"),
                    false => EventCheck::Duplicate,
                };
            }
            (Some(number), Some(last)) => Some(number) == last.checked_add(1),
            (Some(number), None) => number == 1,
            (None, _) => false,
        };
        if self.is_at_continuation && self.is_consecutive && !follows {
            return EventCheck::Foreign("continuation skips events");
        }
        self.is_consecutive = follows && (self.is_consecutive || !self.has_event);
        self.has_event = true;
        self.is_at_continuation = false;
        self.last_id.clone_from(&event.id);
        EventCheck::Forward
    }
}

/// Returns whether an event has no fields.
pub fn is_comment(event: &StreamEvent) -> bool {
    let mut lines = event.raw.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | b"\r" | [b':', ..]))
}
