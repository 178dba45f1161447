//! Resumes the response to a request that the engine has started, from a given chunk on.

use http::{Request, Response};
use volo_http::body::Body;

use super::engine_stand_in::{
    ChunkHeader, EngineStandIn, collect_response, read_attempt, stream_response,
};
use crate::http_util::{header_text, query_number};
use sassafrashoist::util::http_response::build_response;

impl EngineStandIn {
    /// Handles `GET /control/requests/stream?from=INDEX&stream=BOOL`.
    ///
    /// The chunks carry the attempt of this request; a cancellation by an earlier attempt has no
    /// effect afterwards.
    pub(super) async fn resume(&self, request: &Request<Body>) -> Response<Body> {
        let request_id = header_text(request.headers(), "x-request-id");
        let query = request.uri().query().unwrap_or_default();
        let sequence = self.lock().sequence(&request_id);
        let Some(sequence) = sequence.filter(|sequence| !sequence.progress.borrow().is_aborted)
        else {
            return build_response(404, "text/plain", "no such request\n");
        };
        let header = ChunkHeader { request_id, attempt: read_attempt(request.headers()) };
        sequence.record_attempt(header.attempt);
        if query.split('&').any(|pair| pair == "stream=false") {
            return collect_response(header, sequence).await;
        }
        stream_response(header, sequence, query_number(query, "from").unwrap_or(0))
    }
}
