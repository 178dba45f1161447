//! The body of an answer to a caller.

use std::convert::Infallible;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Why the body of an answer ends before its end; the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer was broken off")]
pub struct BrokenOff;

/// The body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;
/// Sends the parts of a body that is made while it is sent.
pub type BodySender = mpsc::Sender<Result<Frame<Bytes>, BrokenOff>>;

/// Returns a body that is whole.
pub fn whole_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns a body and the end that its parts are put into; up to `capacity` parts wait.
pub fn streamed_body(capacity: usize) -> (BodySender, AnswerBody) {
    let (sender, receiver) = mpsc::channel(capacity);
    (sender, StreamBody::new(ReceiverStream::new(receiver)).boxed_unsync())
}

/// Returns an answer with a whole body.
pub fn answer(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
