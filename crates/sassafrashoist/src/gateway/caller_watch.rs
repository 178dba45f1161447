//! Notes when a caller leaves before its answer has begun.

use sassafrashoist_core::ids::RequestId;

/// Notes when a caller leaves before its answer has begun: the server of its connection then drops
/// the work on its request, and this value with it.
#[derive(Debug)]
pub struct CallerWatch {
    id: RequestId,
    has_answer: bool,
}

impl CallerWatch {
    /// Watches the caller of a request.
    pub fn new(id: RequestId) -> Self {
        Self { id, has_answer: false }
    }

    /// Records that there is an answer.
    pub fn end(mut self) {
        self.has_answer = true;
    }
}

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if !self.has_answer {
            metrics::counter!("sassafrashoist_callers_left_total").increment(1);
            log::info!(id = self.id; "caller left before its answer");
        }
    }
}
