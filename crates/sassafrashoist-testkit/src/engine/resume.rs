//! Reading the answer of a request that the engine has begun, from one part on.

use http::{Request, Response};
use volo_http::body::Body;

use super::engine_stand_in::{EngineStandIn, PartMark, collect, read_attempt, stream_answer};
use crate::http_util::{header_text, query_number};
use sassafrashoist::util::http_response::build_response;

impl EngineStandIn {
    /// Answers `GET /control/requests/stream?from=INDEX&stream=BOOL`.
    ///
    /// The parts carry the attempt of this call; a cancellation by an older one has no effect.
    pub(super) async fn resume(&self, request: &Request<Body>) -> Response<Body> {
        let request_id = header_text(request.headers(), "x-request-id");
        let query = request.uri().query().unwrap_or_default();
        let sequence = self.lock().sequence(&request_id);
        let Some(sequence) = sequence.filter(|sequence| !sequence.progress.borrow().is_broken)
        else {
            return build_response(404, "text/plain", "no such request\n");
        };
        let mark = PartMark { request_id, attempt: read_attempt(request.headers()) };
        sequence.record_attempt(mark.attempt);
        if query.split('&').any(|pair| pair == "stream=false") {
            return collect(mark, sequence).await;
        }
        stream_answer(mark, sequence, query_number(query, "from").unwrap_or(0))
    }
}
