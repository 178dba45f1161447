//! Passes an engine's stream on to the caller, part by part.
//!
//! Each part names its request and attempt and is checked before it is passed on. The cost is
//! settled before the last part leaves, so a caller that has the whole answer is always billed.

use std::convert::Infallible;

use bytes::Bytes;
use futures::StreamExt;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use volo_http::body::Body;

use crate::core::caller_request::CallerRequest;
use crate::core::router_context::RouterContext;
use crate::ops::call_backend::cancel_at_backend;
use crate::ops::handle_request::AnswerSender;
use crate::ops::pass_answer::{EVENT_STREAM_TYPE, Usage};
use crate::ops::settle_request::settle_request;
use crate::util::http_answer::{set_header, set_result};
use crate::util::sse_parser::{DONE_DATA, SseParser};
use sassafrashoist_core::ids::{AttemptNumber, Tokens};
use sassafrashoist_core::owner::settle::SettleOutcome;
use sassafrashoist_core::requests::key_entry::KeptAnswer;
use sassafrashoist_core::requests::life_cycle::{Dispatched, Request};
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_core::routing::server_view::ServerView;

/// Parts that wait for a slow caller.
const PART_QUEUE_LENGTH: usize = 64;
/// The event that ends a stream that was cut.
const CUT_EVENT: &[u8] = b"event: error\ndata: {\"code\":7006,\"name\":\"AnswerCut\"}\n\n";

/// The part of an event that the router reads.
#[derive(Debug, Deserialize)]
struct StreamPart {
    id: String,
    attempt: AttemptNumber,
    usage: Option<Usage>,
}

/// How reading a stream ended.
#[derive(Debug, PartialEq, Eq)]
enum StreamEnd {
    Whole(Tokens),
    CallerGone,
    Cut,
}

struct StreamPass<'a> {
    context: &'a RouterContext,
    request: &'a CallerRequest,
    attempt: AttemptNumber,
    parts: mpsc::Sender<Bytes>,
    passed_tokens: Tokens,
    used_tokens: Option<Tokens>,
    kept: Vec<u8>,
}

/// Passes a stream on and settles the request.
pub async fn pass_stream(
    context: &RouterContext,
    request: &CallerRequest,
    server: &ServerView,
    dispatched: Request<Dispatched>,
    response: Response<Body>,
    sender: AnswerSender,
) {
    let (parts, receiver) = mpsc::channel(PART_QUEUE_LENGTH);
    let _ = sender.send(build_stream_answer(request, receiver));
    let mut pass = StreamPass {
        context,
        request,
        attempt: dispatched.attempt(),
        parts,
        passed_tokens: 0,
        used_tokens: None,
        kept: Vec::new(),
    };
    let end = pass.run(response.into_body()).await;
    pass.finish(server, end).await;
}

fn build_stream_answer(request: &CallerRequest, receiver: mpsc::Receiver<Bytes>) -> Response<Body> {
    let frames = ReceiverStream::new(receiver).map(|part| Ok(Frame::data(part))).map(widen_error);
    let mut response = Response::new(Body::from_stream(frames));
    set_header(&mut response, "content-type", EVENT_STREAM_TYPE);
    set_result(&mut response, &request.key, ResultCode::Done);
    response
}

fn widen_error(
    frame: Result<Frame<Bytes>, Infallible>,
) -> Result<Frame<Bytes>, volo_http::error::BoxError> {
    frame.map_err(|never| match never {})
}

impl StreamPass<'_> {
    async fn run(&mut self, mut body: Body) -> StreamEnd {
        let deadline = Instant::now() + self.request.timeout;
        let mut parser = SseParser::default();
        loop {
            let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                _ => return StreamEnd::Cut,
            };
            if let Some(data) = frame.data_ref() {
                parser.push(data);
            }
            while let Some(event) = parser.next_event() {
                if event.data.as_ref() == DONE_DATA {
                    return self.end_whole(event.raw).await;
                }
                if !self.check_part(&event.data) {
                    continue;
                }
                if !self.pass_part(event.raw).await {
                    return StreamEnd::CallerGone;
                }
            }
        }
    }

    /// Reads a part; false when it belongs to another request or attempt.
    fn check_part(&mut self, data: &[u8]) -> bool {
        let Ok(part) = serde_json::from_slice::<StreamPart>(data) else {
            return false;
        };
        if part.id != self.request.key || part.attempt != self.attempt {
            metrics::counter!("sassafrashoist_crossed_parts_dropped_total").increment(1);
            log::warn!(key = self.request.key, part = part.id; "crossed part dropped");
            return false;
        }
        match part.usage {
            Some(usage) => self.used_tokens = Some(usage.total_tokens),
            None => self.passed_tokens += 1,
        }
        true
    }

    async fn pass_part(&mut self, raw: Bytes) -> bool {
        if self.request.is_keyed {
            self.kept.extend_from_slice(&raw);
        }
        let is_caller_here = self.parts.send(raw).await.is_ok();
        is_caller_here || self.request.is_keyed
    }

    async fn end_whole(&mut self, raw: Bytes) -> StreamEnd {
        let Some(used_tokens) = self.used_tokens else {
            return StreamEnd::Cut;
        };
        if self.request.is_keyed {
            self.kept.extend_from_slice(&raw);
        }
        let answer = self.request.is_keyed.then(|| KeptAnswer {
            http_status: 200,
            content_type: EVENT_STREAM_TYPE.to_owned(),
            body: std::mem::take(&mut self.kept),
        });
        self.settle(SettleOutcome::Ran { used_tokens, answer }, ResultCode::Done).await;
        let _ = self.parts.send(raw).await;
        StreamEnd::Whole(used_tokens)
    }

    async fn finish(mut self, server: &ServerView, end: StreamEnd) {
        match end {
            StreamEnd::Whole(used_tokens) => {
                metrics::counter!("sassafrashoist_tokens_billed_total").increment(used_tokens);
            }
            StreamEnd::CallerGone | StreamEnd::Cut => self.settle_cut(server).await,
        }
    }

    /// Stops the engine and bills what it says was used, else what was passed on.
    async fn settle_cut(&mut self, server: &ServerView) {
        let answer = cancel_at_backend(self.context, server, &self.request.key).await;
        let used_tokens = answer
            .ok()
            .and_then(|body| serde_json::from_slice::<Usage>(&body).ok())
            .map_or(self.request.worst_case_tokens, |usage| usage.total_tokens);
        let outcome = SettleOutcome::Ran { used_tokens, answer: None };
        self.settle(outcome, ResultCode::AnswerCut).await;
        let _ = self.parts.send(Bytes::from_static(CUT_EVENT)).await;
    }

    async fn settle(&self, outcome: SettleOutcome, code: ResultCode) {
        settle_request(self.context, self.request, self.attempt, outcome, code).await;
    }
}
