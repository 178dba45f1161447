//! Sends the response of one request to its caller, across all attempts of the request.
//!
//! Every part of a stream carries its index. When a later attempt restarts the stream, its first
//! parts are compared with those that were already forwarded: equal parts are not forwarded again,
//! and a part that differs ends the stream, because the output of two executions must never be
//! mixed.

use bytes::Bytes;
use futures::TryStreamExt;
use http::Response;
use serde_json::json;
use tokio::sync::oneshot;
use tokio::time::Instant;
use volo_http::body::Body;

use super::refusal::Refusal;
use crate::util::http_response::{build_refusal_response, set_header, set_result_headers};
use crate::util::streamed_body::{BodySender, streamed_frames};
use sassafrashoist_core::ids::RequestKey;
use sassafrashoist_core::requests::request_hash::{BodyHash, hash_body};
use sassafrashoist_core::result_code::ResultCode;

/// Passes the response, or the head of a stream, to the task that serves the caller's connection.
pub type ResponseSender = oneshot::Sender<Response<Body>>;
/// The content type of server-sent events.
pub const EVENT_STREAM_TYPE: &str = "text/event-stream";
/// The data of the event that ends a stream.
pub const DONE_DATA: &[u8] = b"[DONE]";
/// The maximum number of stream parts buffered for a slow caller.
const PART_QUEUE_LENGTH: usize = 64;

/// The result of forwarding one part of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartOutcome {
    /// The part was new and was sent. For a keyed request it was also recorded, which is enough: the
    /// result is the same if the part could not be sent.
    Forwarded,
    /// An earlier attempt has forwarded the same part.
    AlreadyForwarded,
    /// The part differs from the one that an earlier attempt forwarded, or parts before it are
    /// missing.
    Diverged,
    /// The part was new but could not be sent, because the caller has disconnected or its deadline
    /// has passed, and the request has no key, so the part was not recorded either.
    CallerGone,
}

/// Sends the response of one request to its caller.
#[derive(Debug)]
pub struct ResponseSink {
    key: RequestKey,
    is_keyed: bool,
    deadline: Instant,
    sender: Option<ResponseSender>,
    parts: Option<BodySender>,
    forwarded_digests: Vec<BodyHash>,
    recorded_body: Vec<u8>,
}

impl ResponseSink {
    /// Creates the sink of a request that has no response yet.
    pub fn new(key: RequestKey, is_keyed: bool, deadline: Instant, sender: ResponseSender) -> Self {
        Self {
            key,
            is_keyed,
            deadline,
            sender: Some(sender),
            parts: None,
            forwarded_digests: Vec::new(),
            recorded_body: Vec::new(),
        }
    }

    /// Returns the index of the next part to forward.
    pub fn next_index(&self) -> u64 {
        self.forwarded_digests.len() as u64
    }

    /// Returns whether any part of a stream was forwarded.
    pub fn has_forwarded_parts(&self) -> bool {
        !self.forwarded_digests.is_empty()
    }

    /// Waits until the caller has disconnected.
    pub async fn wait_for_caller_disconnect(&mut self) {
        match (&mut self.sender, &self.parts) {
            (Some(sender), _) => sender.closed().await,
            (None, Some(parts)) => parts.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Sends the head of a stream unless the response has already started.
    pub fn open_stream(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let (parts, frames) = streamed_frames(PART_QUEUE_LENGTH);
        let mut response = Response::new(Body::from_stream(frames.map_err(Into::into)));
        set_header(&mut response, "content-type", EVENT_STREAM_TYPE);
        set_result_headers(&mut response, &self.key, ResultCode::Done);
        let _ = sender.send(response);
        self.parts = Some(parts);
    }

    /// Forwards the part at an index of the stream. `content` is the data that must be the same in
    /// every attempt; `raw` is the bytes to send.
    pub async fn forward_part(&mut self, index: u64, content: &[u8], raw: Bytes) -> PartOutcome {
        let digest = hash_body(content);
        if let Some(forwarded) = self.forwarded_digests.get(index as usize) {
            return if *forwarded == digest {
                PartOutcome::AlreadyForwarded
            } else {
                PartOutcome::Diverged
            };
        }
        if index != self.next_index() {
            return PartOutcome::Diverged;
        }
        self.forwarded_digests.push(digest);
        if self.is_keyed {
            self.recorded_body.extend_from_slice(&raw);
        }
        if self.send_part(raw).await || self.is_keyed {
            PartOutcome::Forwarded
        } else {
            PartOutcome::CallerGone
        }
    }

    /// Appends the last bytes of a stream to the recorded body and returns the whole body.
    pub fn take_recorded_body(&mut self, last: &Bytes) -> Vec<u8> {
        self.recorded_body.extend_from_slice(last);
        std::mem::take(&mut self.recorded_body)
    }

    /// Sends the last bytes of a complete stream and ends it. If they cannot be sent before the
    /// deadline, the response is aborted.
    pub async fn end_stream(&mut self, last: Bytes) {
        if self.send_part(last).await
            && let Some(parts) = self.parts.take()
        {
            parts.finish();
        }
    }

    /// Sends a complete response unless the response has already started.
    pub fn send_response(&mut self, response: Response<Body>) {
        if let Some(sender) = self.sender.take() {
            let _ = sender.send(response);
        }
    }

    /// Ends the request with a refusal, sent as the response or as the last event of an open
    /// stream, which is then aborted.
    pub async fn refuse(&mut self, refusal: &Refusal) {
        self.send_response(build_refusal_response(&self.key, refusal));
        let data = json!({
            "code": refusal.code.number(),
            "name": refusal.code.name(),
            "outcome": refusal.outcome,
            "retry_after_ms": refusal.retry_after.map(|time| time.as_millis() as u64),
        });
        self.send_part(Bytes::from(format!("event: error\ndata: {data}\n\n"))).await;
        self.parts = None;
    }

    /// Sends bytes of a stream. If that fails, the stream is aborted, because its caller must not
    /// get a later part.
    async fn send_part(&mut self, raw: Bytes) -> bool {
        let Some(parts) = &self.parts else {
            return false;
        };
        let is_sent =
            matches!(tokio::time::timeout_at(self.deadline, parts.send(raw)).await, Ok(true));
        if !is_sent {
            log::info!(key = self.key; "stream aborted: its caller did not take a part");
            self.parts = None;
        }
        is_sent
    }
}
