//! Forwards an engine's stream to the caller, part by part.
//!
//! Each part carries its request's key, attempt number and index, which are checked before it is
//! forwarded. The events that end the stream are returned instead, so that the cost is settled
//! before they are sent: a caller that has the complete response has always been billed.

use bytes::Bytes;
use http_body_util::BodyExt;
use serde::Deserialize;
use serde_json::Value;
use volo_http::body::Body;

use crate::core::response_sink::{DONE_DATA, EVENT_STREAM_TYPE, PartOutcome};
use crate::ops::receive_response::{CompleteResponse, ResponseEnd, Usage};
use crate::ops::run_attempts::ActiveRequest;
use sassafrashoist_core::event_splitter::{EventSplitter, StreamEvent};
use sassafrashoist_core::ids::AttemptNumber;
use sassafrashoist_core::invariants::Invariant;

/// The fields of a stream event that the router reads.
#[derive(Debug, Deserialize)]
struct StreamPart {
    id: String,
    attempt: AttemptNumber,
    index: u64,
    choices: Value,
    usage: Option<Usage>,
}

struct StreamForwarder<'a> {
    active: &'a mut ActiveRequest,
    attempt: AttemptNumber,
    usage_part: Option<UsagePart>,
}

/// The part of a stream that reports the usage. It is sent together with the event that ends the
/// stream.
struct UsagePart {
    index: u64,
    usage: Usage,
    raw: Bytes,
}

/// Forwards a stream up to the part that reports the usage.
pub async fn forward_stream(
    active: &mut ActiveRequest,
    attempt: AttemptNumber,
    body: Body,
) -> ResponseEnd {
    active.sink.open_stream();
    StreamForwarder { active, attempt, usage_part: None }.forward(body).await
}

impl StreamForwarder<'_> {
    async fn forward(&mut self, mut body: Body) -> ResponseEnd {
        let deadline = self.active.request.deadline;
        let mut splitter = EventSplitter::default();
        loop {
            let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return ResponseEnd::Lost(error.to_string()),
                Ok(None) => return ResponseEnd::Lost("stream ended early".to_owned()),
                Err(_) => return ResponseEnd::Lost("timeout".to_owned()),
            };
            if let Some(data) = frame.data_ref() {
                splitter.push(data);
            }
            while let Some(event) = splitter.next_event() {
                if let Some(end) = self.forward_event(event).await {
                    return end;
                }
            }
            if splitter.is_too_long() {
                return ResponseEnd::Lost("event too long".to_owned());
            }
        }
    }

    /// Forwards an event. Returns how the stream ended if this event ends it.
    async fn forward_event(&mut self, event: StreamEvent) -> Option<ResponseEnd> {
        let data = event.data();
        if data.as_ref() == DONE_DATA {
            return Some(self.complete_stream(event.raw));
        }
        let part = self.read_own_part(&data)?;
        if let Some(usage) = part.usage {
            self.usage_part = Some(UsagePart { index: part.index, usage, raw: event.raw });
            return None;
        }
        let content = part.choices.to_string();
        let is_own = part.id == self.active.request.key;
        let invariants = &self.active.context.invariants;
        invariants.check(is_own, Invariant::CrossedAnswers, &self.active.request.key);
        match self.active.sink.forward_part(part.index, content.as_bytes(), event.raw).await {
            PartOutcome::Forwarded | PartOutcome::AlreadyForwarded => None,
            PartOutcome::CallerGone => Some(ResponseEnd::CallerGone),
            PartOutcome::Diverged => {
                Some(ResponseEnd::Lost("attempts gave different responses".to_owned()))
            }
        }
    }

    /// Parses a part; returns `None` when it is malformed or belongs to another request or attempt.
    fn read_own_part(&self, data: &[u8]) -> Option<StreamPart> {
        let part: StreamPart = serde_json::from_slice(data).ok()?;
        if part.id != self.active.request.key || part.attempt != self.attempt {
            metrics::counter!("sassafrashoist_crossed_parts_dropped_total").increment(1);
            log::warn!(
                key = self.active.request.key, part = part.id;
                "dropped a stream part of another request or attempt"
            );
            return None;
        }
        Some(part)
    }

    fn complete_stream(&mut self, done: Bytes) -> ResponseEnd {
        let Some(usage_part) = self.usage_part.take() else {
            return ResponseEnd::Lost("stream reported no usage".to_owned());
        };
        if usage_part.index != self.active.sink.next_index() {
            return ResponseEnd::Lost("stream parts are missing".to_owned());
        }
        ResponseEnd::Complete(CompleteResponse {
            used_tokens: usage_part.usage.total_tokens,
            is_stream: true,
            is_known_complete: true,
            http_status: 200,
            content_type: EVENT_STREAM_TYPE.to_owned(),
            body: [usage_part.raw, done].concat().into(),
        })
    }
}
