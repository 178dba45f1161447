//! Sends a request to backend servers, one attempt after the other, until its outcome is known.
//!
//! The typestates of [`sassafrashoist_core::requests::life_cycle`] restrict how a request may end:
//! only one that no backend server can have started may end as *not run*. A request that was in
//! doubt once never does.

use std::sync::Arc;

use http::Response;
use volo_http::body::Body;

use crate::core::caller_request::CallerRequest;
use crate::core::chosen_server::{ChosenServer, HeadResult};
use crate::core::clock::read_clock;
use crate::core::response_sink::{EVENT_STREAM_TYPE, ResponseSink};
use crate::core::router_context::RouterContext;
use crate::ops::admit_request::redirect_request;
use crate::ops::call_backend::{BackendError, call_backend, cancel_at_backend, resume_at_backend};
use crate::ops::end_request::{end_cancelled, end_complete, end_failed};
use crate::ops::quarantine_requests::{PlacementGuard, place_request, report_crash};
use crate::ops::receive_response::{ResponseEnd, Usage, receive_response};
use sassafrashoist_core::ids::{BackendServerId, Timestamp, Tokens};
use sassafrashoist_core::invariants::Invariant;
use sassafrashoist_core::requests::backoff::{hop_timeout, retry_delay};
use sassafrashoist_core::requests::life_cycle::{Dispatched, Request, Undispatched};
use sassafrashoist_core::requests::recovery::{AttemptFailure, retry_cause};
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_core::routing::server_view::ServerView;

/// A request in progress at this VM, with the state that its attempts share.
pub struct ActiveRequest {
    /// The context of this process.
    pub context: Arc<RouterContext>,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// Sends the response to the caller.
    pub sink: ResponseSink,
    /// Backend servers whose attempts failed.
    pub excluded: Vec<BackendServerId>,
    /// When the last attempt was sent.
    pub sent_at: Timestamp,
    /// Whether the last attempt's backend server crashed.
    pub has_crashed_server: bool,
}

impl ActiveRequest {
    /// Creates the state of a request that has no attempts yet.
    pub fn new(context: Arc<RouterContext>, request: CallerRequest, sink: ResponseSink) -> Self {
        Self {
            context,
            request: Arc::new(request),
            sink,
            excluded: Vec::new(),
            sent_at: read_clock(),
            has_crashed_server: false,
        }
    }

    /// Returns whether the attempt is cancelled when the caller disconnects. Without a caller's
    /// key, nobody can request the response again.
    fn is_cancelled_on_disconnect(&self) -> bool {
        self.request.is_model() && self.request.route.is_idempotent && !self.request.is_keyed
    }
}

/// The next attempt of a request.
struct NextAttempt {
    undispatched: Undispatched,
    server: ChosenServer,
    placement: PlacementGuard,
}

/// How an attempt ended.
enum AttemptEnd {
    /// The request has ended, with a complete response or because its caller disconnected.
    Closed,
    /// The attempt failed; the request may be retried.
    Failed(AttemptFailure, Undispatched),
}

/// Sends attempts until the request has ended.
pub async fn run_attempts(
    active: &mut ActiveRequest,
    first: Undispatched,
    first_server: ChosenServer,
    first_placement: PlacementGuard,
) {
    let mut undispatched = first;
    let mut server = first_server;
    let mut placement = first_placement;
    loop {
        check_rerun(active, &undispatched);
        let dispatched = undispatched.dispatch(server.server_id.clone());
        let (failure, failed) = match send_attempt(active, &mut server, dispatched).await {
            AttemptEnd::Closed => return,
            AttemptEnd::Failed(failure, failed) => (failure, failed),
        };
        active.excluded.push(server.server_id.clone());
        drop(placement);
        match prepare_retry(active, failure, failed).await {
            Ok(next) => {
                undispatched = next.undispatched;
                server = next.server;
                placement = next.placement;
            }
            Err((code, failed)) => return end_failed(active, failed, code).await,
        }
    }
}

/// Receives the response of a backend server that already has the request.
///
/// Returns the request if the response was lost.
pub async fn receive_resumed(
    active: &mut ActiveRequest,
    server: &ServerView,
    dispatched: Request<Dispatched>,
    response: Response<Body>,
) -> Option<Undispatched> {
    match receive_with_resume(active, server, dispatched, Ok(response)).await {
        AttemptEnd::Closed => None,
        AttemptEnd::Failed(_, failed) => Some(failed),
    }
}

fn check_rerun(active: &ActiveRequest, undispatched: &Undispatched) {
    let is_first_run = matches!(undispatched, Undispatched::Admitted(_));
    let is_allowed = is_first_run || active.request.retry_rules().may_rerun();
    active.context.invariants.check(is_allowed, Invariant::DoubleRuns, &active.request.key);
}

async fn send_attempt(
    active: &mut ActiveRequest,
    server: &mut ChosenServer,
    dispatched: Request<Dispatched>,
) -> AttemptEnd {
    let context = Arc::clone(&active.context);
    let request = Arc::clone(&active.request);
    if !server.try_start(&context.invariants) {
        return AttemptEnd::Failed(AttemptFailure::Busy, dispatched.undo_dispatch());
    }
    active.sent_at = read_clock();
    let is_cancelled_on_disconnect = active.is_cancelled_on_disconnect();
    let result = tokio::select! {
        result = call_backend(&context, &request, server, dispatched.attempt()) => Some(result),
        () = active.sink.wait_for_caller_disconnect(), if is_cancelled_on_disconnect => None,
    };
    if let Some(result) = &result {
        server.record_head(classify_head(result));
    }
    let end = match result {
        Some(result) => receive_with_resume(active, server, dispatched, result).await,
        None => cancel_attempt(active, server, dispatched).await,
    };
    if matches!(end, AttemptEnd::Failed(AttemptFailure::ResponseLost, _)) {
        server.record_head(HeadResult::Failed);
    }
    end
}

/// Classifies the head of a response, for the circuit breaker and concurrency limit of its server.
fn classify_head(result: &Result<Response<Body>, BackendError>) -> HeadResult {
    match result {
        Ok(response) if is_stream(response) => HeadResult::Stream,
        Ok(_) => HeadResult::Complete,
        Err(BackendError::Busy) => HeadResult::Refused,
        Err(_) => HeadResult::Failed,
    }
}

fn is_stream(response: &Response<Body>) -> bool {
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM_TYPE.as_bytes()))
}

/// Receives a response to its end. If it is lost once, requests the rest from the engine, which may
/// still have the request.
async fn receive_with_resume(
    active: &mut ActiveRequest,
    server: &ServerView,
    dispatched: Request<Dispatched>,
    first_result: Result<Response<Body>, BackendError>,
) -> AttemptEnd {
    let mut result = first_result;
    let mut was_resumed = false;
    let sent_at = active.sent_at;
    loop {
        let error = match result {
            Ok(response) => match receive_response(active, &dispatched, response).await {
                ResponseEnd::Complete(complete) => {
                    end_complete(active, dispatched, complete).await;
                    return AttemptEnd::Closed;
                }
                ResponseEnd::CallerGone => return cancel_attempt(active, server, dispatched).await,
                ResponseEnd::Lost(reason) => BackendError::ResponseLost(reason),
            },
            Err(error) => error,
        };
        let attempt = dispatched.attempt();
        log::warn!(
            key = active.request.key, server = server.server_id;
            "attempt {attempt} failed: {error}"
        );
        let failure = error.failure();
        if failure != AttemptFailure::ResponseLost {
            return AttemptEnd::Failed(failure, dispatched.undo_dispatch());
        }
        let has_time = active.request.hop_timeout().is_some();
        if was_resumed || !has_time || !active.request.is_model() {
            return end_lost_attempt(active, server, dispatched).await;
        }
        was_resumed = true;
        let from_index = active.sink.next_index();
        result =
            resume_at_backend(&active.context, &active.request, server, attempt, from_index).await;
        if let Err(error) = &result {
            if error.indicates_server_crash() {
                active.has_crashed_server = true;
                report_crash(active, &server.server_id, sent_at).await;
            }
            return end_lost_attempt(active, server, dispatched).await;
        }
    }
}

/// Ends an attempt whose response was lost, and cancels it at the engine.
async fn end_lost_attempt(
    active: &ActiveRequest,
    server: &ServerView,
    dispatched: Request<Dispatched>,
) -> AttemptEnd {
    let spent_tokens = cancel_at_engine(active, server, &dispatched).await;
    let in_doubt = dispatched.record_lost_response(spent_tokens.unwrap_or(0));
    AttemptEnd::Failed(AttemptFailure::ResponseLost, Undispatched::InDoubt(in_doubt))
}

/// Cancels an attempt whose caller has disconnected, and bills the tokens that it used. If the
/// engine does not report them, bills the most that it can have used.
async fn cancel_attempt(
    active: &mut ActiveRequest,
    server: &ServerView,
    dispatched: Request<Dispatched>,
) -> AttemptEnd {
    let spent_tokens = cancel_at_engine(active, server, &dispatched).await;
    let max_used_tokens = active.request.max_used_tokens(active.sink.next_index());
    let used_tokens = spent_tokens.unwrap_or(max_used_tokens);
    end_cancelled(active, dispatched, used_tokens).await;
    AttemptEnd::Closed
}

/// Cancels a request at its engine and returns the tokens that the engine reports as used.
async fn cancel_at_engine(
    active: &ActiveRequest,
    server: &ServerView,
    dispatched: &Request<Dispatched>,
) -> Option<Tokens> {
    if !active.request.is_model() {
        return None;
    }
    let key = &active.request.key;
    let body = cancel_at_backend(&active.context, server, key, dispatched.attempt()).await.ok()?;
    let usage: Usage = serde_json::from_slice(&body).ok()?;
    Some(usage.total_tokens)
}

/// Waits for the retry delay, chooses the next backend server and records the next attempt at the
/// owner.
///
/// Fails with the result code that the request must end with.
async fn prepare_retry(
    active: &mut ActiveRequest,
    failure: AttemptFailure,
    failed: Undispatched,
) -> Result<NextAttempt, (ResultCode, Undispatched)> {
    let after_crash = std::mem::take(&mut active.has_crashed_server);
    let request = &active.request;
    let code = match failure {
        AttemptFailure::Busy => ResultCode::Overloaded,
        AttemptFailure::NotReached | AttemptFailure::ResponseLost => ResultCode::AttemptsFailed,
    };
    let attempt = failed.attempt();
    let failed_count = active.excluded.len() as u32;
    let Some(cause) = retry_cause(failure, request.retry_rules(), failed_count) else {
        return Err((code, failed));
    };
    let delay = retry_delay(active.context.incarnation(), &request.key, failed_count);
    if hop_timeout(request.time_left().saturating_sub(delay)).is_none() {
        return Err((code, failed));
    }
    let (account_id, route_id) = (&request.account.id, &request.route.id);
    let is_retry_allowed = after_crash
        || active.context.tables.lock_retry_budgets().try_retry(account_id, route_id, cause);
    if !is_retry_allowed {
        return Err((code, failed));
    }
    metrics::counter!("sassafrashoist_retries_total").increment(1);
    tokio::time::sleep(delay).await;
    let (server, placement) = match place_request(active).await {
        Ok(placed) => placed,
        Err(refusal) if refusal.code == ResultCode::Quarantined => {
            return Err((refusal.code, failed));
        }
        Err(_) => return Err((code, failed)),
    };
    let earlier = failed.earlier();
    let server_id = &server.server_id;
    match redirect_request(&active.context, request, attempt, earlier, server_id).await {
        Ok(Some(next_attempt)) => {
            let undispatched = failed.with_attempt(next_attempt);
            Ok(NextAttempt { undispatched, server, placement })
        }
        Ok(None) | Err(_) => Err((code, failed)),
    }
}
