//! Sends a request to backend servers, one attempt after the other, until its outcome is known.
//!
//! The typestates of [`sassafrashoist_core::requests::life_cycle`] say how a request may end: one
//! that no backend server can have begun ends as not run, one that was in doubt never does.

use std::sync::Arc;

use http::Response;
use volo_http::body::Body;

use crate::core::answer_sink::{AnswerSink, EVENT_STREAM_TYPE};
use crate::core::caller_request::CallerRequest;
use crate::core::chosen_server::{ChosenServer, HeadResult};
use crate::core::clock::read_clock;
use crate::core::router_context::RouterContext;
use crate::ops::admit_request::redirect_request;
use crate::ops::call_backend::{BackendError, call_backend, cancel_at_backend, resume_at_backend};
use crate::ops::end_request::{end_cancelled, end_whole, give_up};
use crate::ops::pass_answer::{PassEnd, Usage, pass_answer};
use crate::ops::quarantine_requests::{PlacementGuard, place_request, report_crash};
use sassafrashoist_core::ids::{BackendServerId, Timestamp, Tokens};
use sassafrashoist_core::invariants::Invariant;
use sassafrashoist_core::requests::backoff::{hop_timeout, retry_delay};
use sassafrashoist_core::requests::life_cycle::{Dispatched, Request, Undispatched};
use sassafrashoist_core::requests::recovery::{AttemptFailure, retry_cause};
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_core::routing::server_view::ServerView;

/// One request with all that its attempts share.
pub struct RequestRun {
    /// The context of this process.
    pub context: Arc<RouterContext>,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// The caller's end.
    pub sink: AnswerSink,
    /// Backend servers that failed it.
    pub excluded: Vec<BackendServerId>,
    /// When the last attempt was sent.
    pub sent_at: Timestamp,
    /// Whether the last attempt ended with a crash of its backend server.
    pub has_crashed_server: bool,
}

impl RequestRun {
    /// Creates a run without attempts.
    pub fn new(context: Arc<RouterContext>, request: CallerRequest, sink: AnswerSink) -> Self {
        Self {
            context,
            request: Arc::new(request),
            sink,
            excluded: Vec::new(),
            sent_at: read_clock(),
            has_crashed_server: false,
        }
    }

    /// Returns whether the work of a caller that is gone is stopped: nobody can ask for it again.
    fn stops_with_caller(&self) -> bool {
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
    /// The request has its outcome.
    Closed,
    /// The attempt failed.
    Failed(AttemptFailure, Undispatched),
}

/// Sends attempts until the request has its outcome.
pub async fn run_attempts(
    run: &mut RequestRun,
    first: Undispatched,
    first_server: ChosenServer,
    first_placement: PlacementGuard,
) {
    let mut undispatched = first;
    let mut server = first_server;
    let mut placement = first_placement;
    loop {
        check_repeat(run, &undispatched);
        let dispatched = undispatched.dispatch(server.server_id.clone());
        let (failure, failed) = match send_attempt(run, &mut server, dispatched).await {
            AttemptEnd::Closed => return,
            AttemptEnd::Failed(failure, failed) => (failure, failed),
        };
        run.excluded.push(server.server_id.clone());
        drop(placement);
        match prepare_retry(run, failure, failed).await {
            Ok(next) => {
                undispatched = next.undispatched;
                server = next.server;
                placement = next.placement;
            }
            Err((code, failed)) => return give_up(run, failed, code).await,
        }
    }
}

/// Passes on the answer of a backend server that already has the request.
///
/// Returns the request when the answer was lost.
pub async fn pass_resumed(
    run: &mut RequestRun,
    server: &ServerView,
    dispatched: Request<Dispatched>,
    response: Response<Body>,
) -> Option<Undispatched> {
    match follow_answer(run, server, dispatched, Ok(response)).await {
        AttemptEnd::Closed => None,
        AttemptEnd::Failed(_, failed) => Some(failed),
    }
}

fn check_repeat(run: &RequestRun, undispatched: &Undispatched) {
    let is_first_run = matches!(undispatched, Undispatched::Admitted(_));
    let is_allowed = is_first_run || run.request.repeat_rules().may_rerun();
    run.context.invariants.check(is_allowed, Invariant::DoubleRuns, &run.request.key);
}

async fn send_attempt(
    run: &mut RequestRun,
    server: &mut ChosenServer,
    dispatched: Request<Dispatched>,
) -> AttemptEnd {
    let context = Arc::clone(&run.context);
    let request = Arc::clone(&run.request);
    if !server.try_begin(&context.invariants) {
        return AttemptEnd::Failed(AttemptFailure::Busy, dispatched.undo_dispatch());
    }
    run.sent_at = read_clock();
    let stops_with_caller = run.stops_with_caller();
    let answer = tokio::select! {
        answer = call_backend(&context, &request, server, dispatched.attempt()) => Some(answer),
        () = run.sink.wait_caller_gone(), if stops_with_caller => None,
    };
    if let Some(answer) = &answer {
        server.record_head(classify_head(answer));
    }
    let end = match answer {
        Some(answer) => follow_answer(run, server, dispatched, answer).await,
        None => stop_attempt(run, server, dispatched).await,
    };
    if matches!(end, AttemptEnd::Failed(AttemptFailure::ResponseLost, _)) {
        server.record_head(HeadResult::Failed);
    }
    end
}

/// Tells what an answer's head says of its backend server.
fn classify_head(answer: &Result<Response<Body>, BackendError>) -> HeadResult {
    match answer {
        Ok(response) if is_stream(response) => HeadResult::Stream,
        Ok(_) => HeadResult::Whole,
        Err(BackendError::Busy) => HeadResult::Refused,
        Err(_) => HeadResult::Failed,
    }
}

fn is_stream(response: &Response<Body>) -> bool {
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM_TYPE.as_bytes()))
}

/// Follows an answer to its end, across one lost connection where the engine has the request still.
async fn follow_answer(
    run: &mut RequestRun,
    server: &ServerView,
    dispatched: Request<Dispatched>,
    first_answer: Result<Response<Body>, BackendError>,
) -> AttemptEnd {
    let mut answer = first_answer;
    let mut was_resumed = false;
    let sent_at = run.sent_at;
    loop {
        let error = match answer {
            Ok(response) => match pass_answer(run, &dispatched, response).await {
                PassEnd::Whole(whole) => {
                    end_whole(run, dispatched, whole).await;
                    return AttemptEnd::Closed;
                }
                PassEnd::CallerGone => return stop_attempt(run, server, dispatched).await,
                PassEnd::Lost(reason) => BackendError::AnswerLost(reason),
            },
            Err(error) => error,
        };
        let attempt = dispatched.attempt();
        log::warn!(key = run.request.key, server = server.server_id; "attempt {attempt}: {error}");
        let failure = error.failure();
        if failure != AttemptFailure::ResponseLost {
            return AttemptEnd::Failed(failure, dispatched.undo_dispatch());
        }
        let has_time = run.request.hop_timeout().is_some();
        if was_resumed || !has_time || !run.request.is_model() {
            return lose_attempt(run, server, dispatched).await;
        }
        was_resumed = true;
        let from_index = run.sink.next_index();
        answer = resume_at_backend(&run.context, &run.request, server, attempt, from_index).await;
        if let Err(error) = &answer {
            if error.says_server_crashed() {
                run.has_crashed_server = true;
                report_crash(run, &server.server_id, sent_at).await;
            }
            return lose_attempt(run, server, dispatched).await;
        }
    }
}

/// Ends an attempt whose answer is lost, and stops it at the engine.
async fn lose_attempt(
    run: &RequestRun,
    server: &ServerView,
    dispatched: Request<Dispatched>,
) -> AttemptEnd {
    let spent_tokens = stop_at_engine(run, server, &dispatched).await;
    let in_doubt = dispatched.record_lost_response(spent_tokens.unwrap_or(0));
    AttemptEnd::Failed(AttemptFailure::ResponseLost, Undispatched::InDoubt(in_doubt))
}

/// Stops an attempt whose caller is gone, and bills what it used.
async fn stop_attempt(
    run: &mut RequestRun,
    server: &ServerView,
    dispatched: Request<Dispatched>,
) -> AttemptEnd {
    let spent_tokens = stop_at_engine(run, server, &dispatched).await;
    let bound_tokens = run.request.cost_bound(run.sink.next_index());
    let used_tokens = spent_tokens.unwrap_or(bound_tokens);
    end_cancelled(run, dispatched, used_tokens).await;
    AttemptEnd::Closed
}

/// Stops a request at its engine and returns the tokens that the engine says it used.
async fn stop_at_engine(
    run: &RequestRun,
    server: &ServerView,
    dispatched: &Request<Dispatched>,
) -> Option<Tokens> {
    if !run.request.is_model() {
        return None;
    }
    let key = &run.request.key;
    let body = cancel_at_backend(&run.context, server, key, dispatched.attempt()).await.ok()?;
    let usage: Usage = serde_json::from_slice(&body).ok()?;
    Some(usage.total_tokens)
}

/// Waits, chooses the next backend server and records the next attempt at the owner.
///
/// Fails with the code to end with.
async fn prepare_retry(
    run: &mut RequestRun,
    failure: AttemptFailure,
    failed: Undispatched,
) -> Result<NextAttempt, (ResultCode, Undispatched)> {
    let after_crash = std::mem::take(&mut run.has_crashed_server);
    let request = &run.request;
    let code = match failure {
        AttemptFailure::Busy => ResultCode::Overloaded,
        AttemptFailure::NotReached | AttemptFailure::ResponseLost => ResultCode::AttemptsFailed,
    };
    let attempt = failed.attempt();
    let failed_count = run.excluded.len() as u32;
    let Some(cause) = retry_cause(failure, request.repeat_rules(), failed_count) else {
        return Err((code, failed));
    };
    let delay = retry_delay(run.context.incarnation(), &request.key, failed_count);
    if hop_timeout(request.time_left().saturating_sub(delay)).is_none() {
        return Err((code, failed));
    }
    let (account_id, route_id) = (&request.account.id, &request.route.id);
    let has_budget = after_crash
        || run.context.tables.lock_retry_budgets().try_retry(account_id, route_id, cause);
    if !has_budget {
        return Err((code, failed));
    }
    metrics::counter!("sassafrashoist_retries_total").increment(1);
    tokio::time::sleep(delay).await;
    let (server, placement) = match place_request(run).await {
        Ok(placed) => placed,
        Err(refusal) if refusal.code == ResultCode::Quarantined => {
            return Err((refusal.code, failed));
        }
        Err(_) => return Err((code, failed)),
    };
    let earlier = failed.earlier();
    let server_id = &server.server_id;
    match redirect_request(&run.context, request, attempt, earlier, server_id).await {
        Ok(Some(next_attempt)) => {
            let undispatched = failed.with_attempt(next_attempt);
            Ok(NextAttempt { undispatched, server, placement })
        }
        Ok(None) | Err(_) => Err((code, failed)),
    }
}
