//! Takes over a request whose VM is gone, or that ended as unknown and may run again.
//!
//! The owner numbers the attempts, so of several VMs that try, one takes the request over, and a VM
//! that was only slow finds its attempt superseded. The engine's stream is passed on from its start,
//! since the caller needs the whole answer.

use std::sync::Arc;

use crate::ops::admit_request::redirect_request;
use crate::ops::call_backend::resume_at_backend;
use crate::ops::end_request::give_up;
use crate::ops::follow_known_key::FollowStep;
use crate::ops::quarantine_requests::place_request;
use crate::ops::run_attempts::{RequestRun, pass_resumed, run_attempts};
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::{AttemptNumber, BackendServerId};
use sassafrashoist_core::requests::key_entry::{EarlierAttempts, KeyEntry, KeyState};
use sassafrashoist_core::requests::life_cycle::{Dispatched, Request, Undispatched};
use sassafrashoist_core::requests::recovery::{Recovery, StreamLookup, decide_recovery};
use sassafrashoist_core::result_code::ResultCode;

/// Takes over a request whose VM is gone.
pub async fn recover_running(run: &mut RequestRun, entry: &KeyEntry) -> FollowStep {
    let KeyState::Running { attempt, runner } = &entry.state else {
        return FollowStep::LookAgain;
    };
    let _running = run.context.registry.mark_running(&run.request.key);
    let Some(taken_over) = take_over(run, entry, *attempt, &runner.server_id).await else {
        return FollowStep::LookAgain;
    };
    let reason = format!("attempt {attempt} of VM {} taken over", runner.vm_id);
    run.context.record_decision(&run.request.key, DecisionKind::Answer, ResultCode::Done, reason);
    metrics::counter!("sassafrashoist_takeovers_total").increment(1);
    let server = run.context.tables.lock_routing().server(&runner.server_id).cloned();
    let dispatched = taken_over.dispatch(runner.server_id.clone());
    let undispatched = match server {
        Some(server) if run.request.is_model() => {
            let context = Arc::clone(&run.context);
            let number = dispatched.attempt();
            match resume_at_backend(&context, &run.request, &server, number, 0).await {
                Ok(response) => match pass_resumed(run, &server, dispatched, response).await {
                    Some(undispatched) => undispatched,
                    None => return FollowStep::Answered,
                },
                Err(_) => lose(dispatched),
            }
        }
        _ => lose(dispatched),
    };
    match decide_recovery(StreamLookup::Unavailable, run.request.repeat_rules()) {
        Recovery::Retry => repeat(run, undispatched).await,
        Recovery::Resume | Recovery::Unknown => {
            give_up(run, undispatched, ResultCode::OutcomeUnknown).await;
        }
    }
    FollowStep::Answered
}

/// Runs a request again that ended as unknown, where that is allowed.
pub async fn repeat_unknown(run: &mut RequestRun, entry: &KeyEntry) -> FollowStep {
    let _running = run.context.registry.mark_running(&run.request.key);
    let (server, placement) = match place_request(run).await {
        Ok(placed) => placed,
        Err(mut refusal) => {
            refusal.outcome = sassafrashoist_core::result_code::Outcome::Unknown;
            run.sink.refuse(&refusal).await;
            return FollowStep::Answered;
        }
    };
    let from_attempt = entry.last_attempt;
    let Some(taken_over) = take_over(run, entry, from_attempt, &server.server_id).await else {
        return FollowStep::LookAgain;
    };
    run_attempts(run, taken_over, server, placement).await;
    FollowStep::Answered
}

async fn take_over(
    run: &RequestRun,
    entry: &KeyEntry,
    from_attempt: AttemptNumber,
    server_id: &BackendServerId,
) -> Option<Undispatched> {
    let earlier = EarlierAttempts { may_have_run: true, ..entry.earlier };
    let (context, request) = (&run.context, &run.request);
    let redirected = redirect_request(context, request, from_attempt, earlier, server_id).await;
    let attempt = redirected.ok().flatten()?;
    let received = Request::new(request.key.clone());
    let spent_tokens = entry.earlier.spent_tokens;
    Some(Undispatched::InDoubt(received.take_over(entry.reserved_tokens, spent_tokens, attempt)))
}

/// Sends a request again that an earlier attempt may have begun.
async fn repeat(run: &mut RequestRun, undispatched: Undispatched) {
    let from_attempt = undispatched.attempt();
    let Ok((server, placement)) = place_request(run).await else {
        return give_up(run, undispatched, ResultCode::AttemptsFailed).await;
    };
    let earlier = undispatched.earlier();
    let server_id = &server.server_id;
    let redirected =
        redirect_request(&run.context, &run.request, from_attempt, earlier, server_id).await;
    let Ok(Some(attempt)) = redirected else {
        return give_up(run, undispatched, ResultCode::AttemptsFailed).await;
    };
    run_attempts(run, undispatched.with_attempt(attempt), server, placement).await;
}

fn lose(dispatched: Request<Dispatched>) -> Undispatched {
    Undispatched::InDoubt(dispatched.record_lost_response(0))
}
