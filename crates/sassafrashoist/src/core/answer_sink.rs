//! The caller's end of one request, over all its attempts.
//!
//! Every part of a stream carries its place. A later attempt that starts the stream again has its
//! first parts compared with those that were passed on: equal parts are not passed on twice, and a
//! part that differs ends the stream, since the answers of two runs must never be mixed.

use bytes::Bytes;
use futures::StreamExt;
use http::Response;
use http_body::Frame;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use volo_http::body::Body;

use super::refusal::Refusal;
use crate::util::http_answer::{build_refusal, set_header, set_result};
use sassafrashoist_core::ids::RequestKey;
use sassafrashoist_core::requests::request_hash::{BodyHash, hash_body};
use sassafrashoist_core::result_code::ResultCode;

/// Hands the head of the answer to the caller's connection.
pub type AnswerSender = oneshot::Sender<Response<Body>>;
/// The content type of server-sent events.
pub const EVENT_STREAM_TYPE: &str = "text/event-stream";
/// The data of the event that ends a stream.
pub const DONE_DATA: &[u8] = b"[DONE]";
/// Parts that wait for a slow caller.
const PART_QUEUE_LENGTH: usize = 64;

/// What became of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartFate {
    /// It was new and passed on, or the caller is gone and it was kept.
    Passed,
    /// It was passed on by an earlier attempt.
    Repeated,
    /// It differs from what an earlier attempt passed on, or parts before it are missing.
    Diverged,
    /// The caller does not read any more.
    CallerGone,
}

/// The caller's end of one request.
#[derive(Debug)]
pub struct AnswerSink {
    key: RequestKey,
    is_keyed: bool,
    deadline: Instant,
    sender: Option<AnswerSender>,
    parts: Option<mpsc::Sender<Bytes>>,
    digests: Vec<BodyHash>,
    kept: Vec<u8>,
}

impl AnswerSink {
    /// Creates the end of a request that has no answer yet.
    pub fn new(key: RequestKey, is_keyed: bool, deadline: Instant, sender: AnswerSender) -> Self {
        Self {
            key,
            is_keyed,
            deadline,
            sender: Some(sender),
            parts: None,
            digests: Vec::new(),
            kept: Vec::new(),
        }
    }

    /// The place of the next part.
    pub fn next_index(&self) -> u64 {
        self.digests.len() as u64
    }

    /// Returns whether parts were passed on.
    pub fn has_passed_parts(&self) -> bool {
        !self.digests.is_empty()
    }

    /// Waits until the caller does not read any more.
    pub async fn wait_caller_gone(&mut self) {
        match (&mut self.sender, &self.parts) {
            (Some(sender), _) => sender.closed().await,
            (None, Some(parts)) => parts.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Sends the head of a stream, once.
    pub fn open_stream(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let (parts, receiver) = mpsc::channel(PART_QUEUE_LENGTH);
        let frames = ReceiverStream::new(receiver).map(|part| Ok(Frame::data(part)));
        let mut response = Response::new(Body::from_stream(frames));
        set_header(&mut response, "content-type", EVENT_STREAM_TYPE);
        set_result(&mut response, &self.key, ResultCode::Done);
        let _ = sender.send(response);
        self.parts = Some(parts);
    }

    /// Passes on the part at a place of the stream; `content` is what must not differ in a repeat.
    pub async fn pass_part(&mut self, index: u64, content: &[u8], raw: Bytes) -> PartFate {
        let digest = hash_body(content);
        if let Some(passed) = self.digests.get(index as usize) {
            return if *passed == digest { PartFate::Repeated } else { PartFate::Diverged };
        }
        if index != self.next_index() {
            return PartFate::Diverged;
        }
        self.digests.push(digest);
        if self.is_keyed {
            self.kept.extend_from_slice(&raw);
        }
        if self.send_part(raw).await || self.is_keyed {
            PartFate::Passed
        } else {
            PartFate::CallerGone
        }
    }

    /// Adds the last bytes of a stream to what is kept and returns all of it.
    pub fn take_kept(&mut self, last: &Bytes) -> Vec<u8> {
        self.kept.extend_from_slice(last);
        std::mem::take(&mut self.kept)
    }

    /// Sends the bytes that end a stream.
    pub async fn end_stream(&mut self, last: Bytes) {
        if let Some(parts) = self.parts.take() {
            let _ = tokio::time::timeout_at(self.deadline, parts.send(last)).await;
        }
    }

    /// Sends a whole answer.
    pub fn send_whole(&mut self, response: Response<Body>) {
        if let Some(sender) = self.sender.take() {
            let _ = sender.send(response);
        }
    }

    /// Ends the request with a refusal, as the answer or as the last event of an open stream.
    pub async fn refuse(&mut self, refusal: &Refusal) {
        self.send_whole(build_refusal(&self.key, refusal));
        let data = json!({
            "code": refusal.code.number(),
            "name": refusal.code.name(),
            "outcome": refusal.outcome,
            "retry_after_ms": refusal.retry_after.map(|time| time.as_millis() as u64),
        });
        self.end_stream(Bytes::from(format!("event: error\ndata: {data}\n\n"))).await;
    }

    async fn send_part(&self, raw: Bytes) -> bool {
        let Some(parts) = &self.parts else {
            return false;
        };
        matches!(tokio::time::timeout_at(self.deadline, parts.send(raw)).await, Ok(Ok(())))
    }
}
