//! The life of one request at its entry VM.
//!
//! Choose a backend server, reserve the worst case at the owner, send the attempt, pass the answer
//! on, settle. The work runs in a task of its own, so a caller that disconnects does not stop a
//! request that must be followed to its end.

use std::sync::Arc;

use http::Response;
use tokio::sync::oneshot;
use volo_http::body::Body;

use crate::core::caller_request::CallerRequest;
use crate::core::chosen_server::{ChosenServer, HeadResult};
use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use crate::ops::admit_request::{admit_request, redirect_request};
use crate::ops::call_backend::{BackendError, call_backend};
use crate::ops::choose_backend::{choose_backend, choose_next_backend};
use crate::ops::follow_known_key::follow_known_key;
use crate::ops::pass_answer::{EVENT_STREAM_TYPE, pass_answer};
use crate::ops::refuse_place::refuse_place;
use crate::ops::settle_request::settle_request;
use crate::util::http_answer::build_refusal;
use sassafrashoist_core::ids::AttemptNumber;
use sassafrashoist_core::owner::admit::AdmitDecision;
use sassafrashoist_core::owner::settle::SettleOutcome;
use sassafrashoist_core::requests::life_cycle::{Admitted, Request};
use sassafrashoist_core::result_code::ResultCode;

/// The most attempts of one request.
const MAX_ATTEMPTS: AttemptNumber = 4;

/// Hands the head of the answer to the caller's connection.
pub type AnswerSender = oneshot::Sender<Response<Body>>;

/// Serves a checked request and returns its answer.
pub async fn handle_request(
    context: &Arc<RouterContext>,
    request: CallerRequest,
) -> Response<Body> {
    if !context.drain_gate.try_enter() {
        return build_refusal(&request.key, &Refusal::of(ResultCode::Draining));
    }
    let (sender, receiver) = oneshot::channel();
    let key = request.key.clone();
    let task_context = Arc::clone(context);
    tokio::spawn(async move {
        serve_request(&task_context, &request, sender).await;
        task_context.drain_gate.leave();
    });
    match receiver.await {
        Ok(response) => response,
        Err(_) => build_refusal(&key, &Refusal::of(ResultCode::OutcomeUnknown)),
    }
}

async fn serve_request(context: &RouterContext, request: &CallerRequest, sender: AnswerSender) {
    let server = match choose_backend(context, request).await {
        Ok(server) => server,
        Err(refusal) => return refuse_place(context, request, &refusal, sender).await,
    };
    let decision = match admit_request(context, request, &server.server_id).await {
        Ok(decision) => decision,
        Err(error) => {
            let refusal = Refusal::new(ResultCode::OwnerOutOfReach, error.to_string());
            return answer_refusal(request, sender, &refusal);
        }
    };
    match decision {
        AdmitDecision::Admitted { attempt } => {
            let admitted =
                Request::new(request.key.clone()).admit(request.worst_case_tokens, attempt);
            run_attempts(context, request, admitted, attempt, server, sender).await;
        }
        AdmitDecision::Known(state) => follow_known_key(context, request, state, sender).await,
        AdmitDecision::Refused { code, retry_after } => {
            answer_refusal(request, sender, &Refusal::of(code).retry_after(retry_after));
        }
    }
}

async fn run_attempts(
    context: &RouterContext,
    request: &CallerRequest,
    mut admitted: Request<Admitted>,
    mut attempt: AttemptNumber,
    mut server: ChosenServer,
    sender: AnswerSender,
) {
    let mut excluded = Vec::new();
    loop {
        let dispatched = admitted.dispatch(server.server_id.clone());
        let answer = if server.try_begin(&context.invariants) {
            call_backend(context, request, &server, attempt).await
        } else {
            Err(BackendError::Refused("it is leaving".to_owned()))
        };
        server.record_head(classify_head(&answer));
        let error = match answer {
            Ok(response) => {
                pass_answer(context, request, &server, dispatched, response, sender).await;
                return;
            }
            Err(error) => error,
        };
        log::warn!(key = request.key, server = server.server_id; "attempt {attempt}: {error}");
        let is_begun = matches!(error, BackendError::AnswerLost(_));
        if is_begun && !request.route.is_idempotent {
            return end_unknown(context, request, attempt, sender).await;
        }
        admitted = dispatched.return_unbegun();
        excluded.push(server.server_id.clone());
        let next = choose_next_backend(context, request, &excluded);
        let Ok(next) = next else {
            return end_not_run(context, request, attempt, admitted, sender).await;
        };
        if attempt >= MAX_ATTEMPTS {
            return end_not_run(context, request, attempt, admitted, sender).await;
        }
        match redirect_request(context, request, attempt, &next.server_id).await {
            Ok(Some(next_attempt)) => attempt = next_attempt,
            _ => return end_not_run(context, request, attempt, admitted, sender).await,
        }
        server = next;
    }
}

/// Tells what an answer's head says of its backend server.
fn classify_head(answer: &Result<Response<Body>, BackendError>) -> HeadResult {
    match answer {
        Ok(response) if response.status().is_server_error() => HeadResult::Failed,
        Ok(response) if is_stream(response) => HeadResult::Stream,
        Ok(_) => HeadResult::Whole,
        Err(BackendError::Refused(_)) => HeadResult::Refused,
        Err(BackendError::NotBegun(_) | BackendError::AnswerLost(_)) => HeadResult::Failed,
    }
}

fn is_stream(response: &Response<Body>) -> bool {
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM_TYPE.as_bytes()))
}

async fn end_unknown(
    context: &RouterContext,
    request: &CallerRequest,
    attempt: AttemptNumber,
    sender: AnswerSender,
) {
    let code = ResultCode::OutcomeUnknown;
    settle_request(context, request, attempt, SettleOutcome::Unknown, code).await;
    answer_refusal(request, sender, &Refusal::of(code));
}

async fn end_not_run(
    context: &RouterContext,
    request: &CallerRequest,
    attempt: AttemptNumber,
    admitted: Request<Admitted>,
    sender: AnswerSender,
) {
    let code = ResultCode::AttemptsFailed;
    settle_request(context, request, attempt, SettleOutcome::NotRun, code).await;
    let (_, outcome) = admitted.refuse(code);
    let mut refusal = Refusal::of(code);
    refusal.outcome = outcome;
    answer_refusal(request, sender, &refusal);
}

/// Answers with a refusal; a caller that is gone needs none.
pub fn answer_refusal(request: &CallerRequest, sender: AnswerSender, refusal: &Refusal) {
    let _ = sender.send(build_refusal(&request.key, refusal));
}
