//! A place on a backend server, held by one attempt.

use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use super::backend_dispatcher::BackendDispatcher;
use super::clock::read_clock;
use sassafrashoist_core::ids::Timestamp;
use sassafrashoist_core::invariants::{Invariant, Invariants};
use sassafrashoist_core::routing::choose::Choice;
use sassafrashoist_core::routing::circuit_breaker::AttemptVerdict;
use sassafrashoist_core::routing::concurrency_limit::LoadSignal;
use sassafrashoist_core::routing::routing_table::AttemptEnd;
use sassafrashoist_core::routing::server_view::ServerView;

/// The longest that work may still begin on a server whose leaving was published.
const LATE_WORK_BOUND: Duration = Duration::from_secs(3);

/// What the head of an answer, or its absence, says of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadResult {
    /// The head of a stream came.
    Stream,
    /// The head of an answer came that was whole already.
    Whole,
    /// The server has no room or refused before it began.
    Refused,
    /// The server failed.
    Failed,
}

/// A place on a backend server; dropping it frees the place.
#[derive(Debug)]
pub struct ChosenServer {
    choice: Choice,
    dispatcher: Arc<BackendDispatcher>,
    begun_at: Option<Timestamp>,
    verdict: AttemptVerdict,
    signal: Option<LoadSignal>,
}

impl ChosenServer {
    /// Takes over the place that a choice reserved.
    pub fn new(choice: Choice, dispatcher: Arc<BackendDispatcher>) -> Self {
        Self { choice, dispatcher, begun_at: None, verdict: AttemptVerdict::Neutral, signal: None }
    }

    /// Returns what was chosen.
    pub fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Marks the attempt as begun; false when the server has started to leave since it was chosen,
    /// and nothing may be sent to it.
    pub fn try_begin(&mut self, invariants: &Invariants) -> bool {
        let now = read_clock();
        let was_leaving_since = self.choice.server.leaving_since;
        let is_late = was_leaving_since.is_some_and(|since| now > since + LATE_WORK_BOUND);
        invariants.check(!is_late, Invariant::LateWork, &self.choice.server.server_id);
        if is_late || self.is_leaving_now() {
            return false;
        }
        self.begun_at = Some(now);
        true
    }

    /// Learns from the head of the answer.
    pub fn record_head(&mut self, result: HeadResult) {
        let head_time = self.begun_at.map(|at| read_clock().saturating_sub(at));
        (self.verdict, self.signal) = match result {
            HeadResult::Stream => (AttemptVerdict::Succeeded, self.read_signal(head_time)),
            HeadResult::Whole => (AttemptVerdict::Succeeded, Some(LoadSignal::NoQueueing)),
            HeadResult::Refused => (AttemptVerdict::Neutral, Some(LoadSignal::Refused)),
            HeadResult::Failed => (AttemptVerdict::Failed, None),
        };
        if matches!(result, HeadResult::Refused | HeadResult::Failed) {
            self.begun_at = None;
        }
    }

    fn read_signal(&self, head_time: Option<Duration>) -> Option<LoadSignal> {
        let server_id = &self.choice.server.server_id;
        self.dispatcher.lock_routing().classify_head_time(server_id, head_time?)
    }

    fn is_leaving_now(&self) -> bool {
        let routing = self.dispatcher.lock_routing();
        let server = routing.server(&self.choice.server.server_id);
        server.is_none_or(|server| server.leaving_since.is_some())
    }
}

impl Deref for ChosenServer {
    type Target = ServerView;

    fn deref(&self) -> &ServerView {
        &self.choice.server
    }
}

impl Drop for ChosenServer {
    fn drop(&mut self) {
        let now = read_clock();
        let end = AttemptEnd {
            verdict: self.verdict,
            signal: self.signal,
            service_time: self.begun_at.map(|at| now.saturating_sub(at)),
        };
        self.dispatcher.lock_routing().end_attempt(&self.choice.server.server_id, end, now);
        self.dispatcher.pump();
    }
}
