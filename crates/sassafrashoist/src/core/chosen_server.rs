//! A slot on a backend server, held by one attempt.

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

/// The longest time after a server's departure was published during which an attempt may still
/// start on that server.
const MAX_START_DELAY_AFTER_LEAVING: Duration = Duration::from_secs(3);

/// What the head of a backend server's response, or the lack of a response, shows about the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadResult {
    /// The head of a stream arrived.
    Stream,
    /// The head of a complete, non-streaming response arrived.
    Complete,
    /// The server had no free slot, or refused the request before executing it.
    Refused,
    /// The server failed or could not be reached, or its response was lost after the head.
    Failed,
}

/// A slot on a backend server, held by one attempt. Dropping it frees the slot and reports the
/// result of the attempt to the routing table.
#[derive(Debug)]
pub struct ChosenServer {
    choice: Choice,
    dispatcher: Arc<BackendDispatcher>,
    started_at: Option<Timestamp>,
    verdict: AttemptVerdict,
    signal: Option<LoadSignal>,
}

impl ChosenServer {
    /// Takes ownership of the slot that a choice reserved.
    pub fn new(choice: Choice, dispatcher: Arc<BackendDispatcher>) -> Self {
        Self {
            choice,
            dispatcher,
            started_at: None,
            verdict: AttemptVerdict::Neutral,
            signal: None,
        }
    }

    /// Returns the routing choice.
    pub fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Marks the attempt as started. Returns false if the server has begun to leave since it was
    /// chosen; then nothing may be sent to it.
    pub fn try_start(&mut self, invariants: &Invariants) -> bool {
        let now = read_clock();
        let leaving_since = self.choice.server.leaving_since;
        let is_late =
            leaving_since.is_some_and(|since| now > since + MAX_START_DELAY_AFTER_LEAVING);
        invariants.check(!is_late, Invariant::LateWork, &self.choice.server.server_id);
        if is_late || self.is_leaving_now() {
            return false;
        }
        self.started_at = Some(now);
        true
    }

    /// Records a result for the circuit breaker and the concurrency limit of the server. The last
    /// result counts when the slot is freed.
    pub fn record_head(&mut self, result: HeadResult) {
        let head_time = self.started_at.map(|at| read_clock().saturating_sub(at));
        (self.verdict, self.signal) = match result {
            HeadResult::Stream => (AttemptVerdict::Succeeded, self.read_signal(head_time)),
            HeadResult::Complete => (AttemptVerdict::Succeeded, Some(LoadSignal::NoQueueing)),
            HeadResult::Refused => (AttemptVerdict::Neutral, Some(LoadSignal::Refused)),
            HeadResult::Failed => (AttemptVerdict::Failed, None),
        };
        if matches!(result, HeadResult::Refused | HeadResult::Failed) {
            self.started_at = None;
        }
    }

    /// Derives a signal for the server's concurrency limit from the time to the head of its
    /// response.
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
            service_time: self.started_at.map(|at| now.saturating_sub(at)),
        };
        self.dispatcher.lock_routing().end_attempt(&self.choice.server.server_id, end, now);
        self.dispatcher.fill_free_slots();
    }
}
