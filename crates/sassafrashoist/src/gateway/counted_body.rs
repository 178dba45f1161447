//! The body of a response whose bytes are counted for the budget of the link.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use sassafrashoist_core::ids::RouteId;

use super::gateway_context::GatewayContext;
use super::response_body::ResponseBody;
use crate::util::streamed_body::IncompleteBody;

/// The bytes that each piece of a body adds: the framing of its chunk and the headers of its packet.
const PIECE_OVERHEAD_BYTES: u64 = 60;

/// The body of a response; dropping it records how many bytes it had.
#[derive(Debug)]
pub struct CountedBody {
    body: ResponseBody,
    context: Arc<GatewayContext>,
    route_id: RouteId,
    sent_bytes: u64,
}

impl CountedBody {
    /// Counts the body of a successful response, if the link of this VM is limited.
    pub fn wrap(
        response: Response<ResponseBody>,
        context: &Arc<GatewayContext>,
        route_id: RouteId,
    ) -> Response<ResponseBody> {
        if context.settings().bandwidth_bits_per_s.is_none() || !response.status().is_success() {
            return response;
        }
        let context = Arc::clone(context);
        response.map(|body| Self { body, context, route_id, sent_bytes: 0 }.boxed_unsync())
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.sent_bytes += data.len() as u64 + PIECE_OVERHEAD_BYTES;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.context.lock_link().record_response(&self.route_id, self.sent_bytes);
    }
}
