//! The body of a response to a caller.

use std::convert::Infallible;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, BodyStream, Full, StreamBody};

use super::buffered_body::BufferedBody;
use crate::util::streamed_body::{BodySender, IncompleteBody, streamed_frames};

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, IncompleteBody>;

/// Returns a body whose bytes are all present.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns a body whose length is not sent in the head.
pub fn body_of_unknown_length(body: BufferedBody) -> ResponseBody {
    StreamBody::new(BodyStream::new(body)).boxed_unsync()
}

/// Returns a streamed body and its sender; up to `capacity` chunks are buffered.
pub fn streamed_body(capacity: usize) -> (BodySender, ResponseBody) {
    let (sender, frames) = streamed_frames(capacity);
    (sender, StreamBody::new(frames).boxed_unsync())
}

/// Returns a response whose body is not streamed.
pub fn full_response(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
