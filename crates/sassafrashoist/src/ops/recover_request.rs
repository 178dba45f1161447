//! Takes over a request whose VM is gone, or that ended as unknown and may be rerun.
//!
//! The owner assigns the attempt numbers, so that only one of several VMs that try takes the
//! request over, and a VM that was only slow finds its attempt superseded. The engine's stream is
//! forwarded from its start, since the caller needs the complete response.

use std::sync::Arc;

use crate::ops::admit_request::redirect_request;
use crate::ops::await_known_request::KnownKeyStep;
use crate::ops::call_backend::resume_at_backend;
use crate::ops::end_request::end_failed;
use crate::ops::quarantine_requests::place_request;
use crate::ops::run_attempts::{ActiveRequest, receive_resumed, run_attempts};
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::{AttemptNumber, BackendServerId};
use sassafrashoist_core::requests::key_entry::{EarlierAttempts, KeyEntry, KeyState};
use sassafrashoist_core::requests::life_cycle::{Dispatched, Request, Undispatched};
use sassafrashoist_core::requests::recovery::{Recovery, StreamLookup, decide_recovery};
use sassafrashoist_core::result_code::ResultCode;

/// Takes over a request whose VM is gone.
pub async fn recover_running(active: &mut ActiveRequest, entry: &KeyEntry) -> KnownKeyStep {
    let KeyState::Running { attempt, runner } = &entry.state else {
        return KnownKeyStep::CheckAgain;
    };
    let _running_guard = active.context.registry.mark_running(&active.request.key);
    let Some(taken_over) = take_over(active, entry, *attempt, &runner.server_id).await else {
        return KnownKeyStep::CheckAgain;
    };
    let reason = format!("attempt {attempt} of VM {} taken over", runner.vm_id);
    active.context.record_decision(
        &active.request.key,
        DecisionKind::Answer,
        ResultCode::Done,
        reason,
    );
    metrics::counter!("sassafrashoist_takeovers_total").increment(1);
    let server = active.context.tables.lock_routing().server(&runner.server_id).cloned();
    let dispatched = taken_over.dispatch(runner.server_id.clone());
    let undispatched = match server {
        Some(server) if active.request.is_model() => {
            let context = Arc::clone(&active.context);
            let next_attempt = dispatched.attempt();
            match resume_at_backend(&context, &active.request, &server, next_attempt, 0).await {
                Ok(response) => {
                    match receive_resumed(active, &server, dispatched, response).await {
                        Some(undispatched) => undispatched,
                        None => return KnownKeyStep::Responded,
                    }
                }
                Err(_) => into_in_doubt(dispatched),
            }
        }
        _ => into_in_doubt(dispatched),
    };
    match decide_recovery(StreamLookup::Unavailable, active.request.retry_rules()) {
        Recovery::Retry => rerun(active, undispatched).await,
        Recovery::Resume | Recovery::Unknown => {
            end_failed(active, undispatched, ResultCode::OutcomeUnknown).await;
        }
    }
    KnownKeyStep::Responded
}

/// Reruns a request that ended as unknown. Called only if the request's route allows a rerun.
pub async fn rerun_unknown(active: &mut ActiveRequest, entry: &KeyEntry) -> KnownKeyStep {
    let _running_guard = active.context.registry.mark_running(&active.request.key);
    let (server, placement) = match place_request(active).await {
        Ok(placed) => placed,
        Err(mut refusal) => {
            refusal.outcome = sassafrashoist_core::result_code::Outcome::Unknown;
            active.sink.refuse(&refusal).await;
            return KnownKeyStep::Responded;
        }
    };
    let from_attempt = entry.last_attempt;
    let Some(taken_over) = take_over(active, entry, from_attempt, &server.server_id).await else {
        return KnownKeyStep::CheckAgain;
    };
    run_attempts(active, taken_over, server, placement).await;
    KnownKeyStep::Responded
}

async fn take_over(
    active: &ActiveRequest,
    entry: &KeyEntry,
    from_attempt: AttemptNumber,
    server_id: &BackendServerId,
) -> Option<Undispatched> {
    let earlier = EarlierAttempts { may_have_run: true, ..entry.earlier };
    let (context, request) = (&active.context, &active.request);
    let redirected = redirect_request(context, request, from_attempt, earlier, server_id).await;
    let attempt = redirected.ok().flatten()?;
    let received = Request::new(request.key.clone());
    let spent_tokens = entry.earlier.spent_tokens;
    Some(Undispatched::InDoubt(received.take_over(entry.reserved_tokens, spent_tokens, attempt)))
}

/// Reruns a request that an earlier attempt may have started.
async fn rerun(active: &mut ActiveRequest, undispatched: Undispatched) {
    let from_attempt = undispatched.attempt();
    let Ok((server, placement)) = place_request(active).await else {
        return end_failed(active, undispatched, ResultCode::AttemptsFailed).await;
    };
    let earlier = undispatched.earlier();
    let server_id = &server.server_id;
    let redirected =
        redirect_request(&active.context, &active.request, from_attempt, earlier, server_id).await;
    let Ok(Some(attempt)) = redirected else {
        return end_failed(active, undispatched, ResultCode::AttemptsFailed).await;
    };
    run_attempts(active, undispatched.with_attempt(attempt), server, placement).await;
}

fn into_in_doubt(dispatched: Request<Dispatched>) -> Undispatched {
    Undispatched::InDoubt(dispatched.record_lost_response(0))
}
