//! The body of a response whose connection knows when the HTTP library has taken all of it.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};

use super::open_connection::OpenConnection;
use super::response_body::ResponseBody;
use crate::util::streamed_body::IncompleteBody;

/// The body of a response; dropping it tells the connection that the response is complete.
#[derive(Debug)]
pub struct TrackedBody {
    body: ResponseBody,
    connection: Arc<OpenConnection>,
}

impl TrackedBody {
    /// Wraps the body of the response that a connection is to send.
    pub fn wrap(
        response: Response<ResponseBody>,
        connection: &Arc<OpenConnection>,
    ) -> Response<Self> {
        let connection = Arc::clone(connection);
        response.map(|body| Self { body, connection })
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.record_response();
    }
}
