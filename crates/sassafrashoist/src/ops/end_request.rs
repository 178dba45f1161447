//! Ends a request: settles it at its owner and sends the final response to its caller.
//!
//! A settlement that the owner does not confirm quickly continues in a separate task, so that the
//! caller does not wait for it.

use std::sync::Arc;
use std::time::Duration;

use crate::core::clock::read_clock;
use crate::core::refusal::Refusal;
use crate::core::response_sink::EVENT_STREAM_TYPE;
use crate::ops::receive_response::CompleteResponse;
use crate::ops::run_attempts::ActiveRequest;
use crate::ops::settle_request::settle_request;
use crate::util::http_response::{
    build_response, delimit_by_close, hide_length, set_result_headers,
};
use sassafrashoist_core::ids::{AttemptNumber, Tokens};
use sassafrashoist_core::invariants::Invariant;
use sassafrashoist_core::owner::settle::{SettleDecision, SettleOutcome};
use sassafrashoist_core::requests::key_entry::StoredResponse;
use sassafrashoist_core::requests::life_cycle::{
    Admitted, Dispatched, InDoubt, Request, Undispatched,
};
use sassafrashoist_core::result_code::{Outcome, ResultCode};

/// How long the caller's response waits for the owner to confirm a settlement.
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(300);
/// The `Retry-After` of a request whose attempts failed.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settles a request whose response was received to its end, and then sends the response to the
/// caller. Of a stream, only the events that end it are sent here; the others were forwarded
/// before. A response that may be incomplete is not stored.
pub async fn end_complete(
    active: &mut ActiveRequest,
    dispatched: Request<Dispatched>,
    complete: CompleteResponse,
) {
    let attempt = dispatched.attempt();
    let billed_tokens = dispatched.settle(complete.used_tokens).billed_tokens();
    let stored = build_stored_response(active, &complete);
    let outcome = SettleOutcome::Ran { used_tokens: billed_tokens, response: stored };
    settle(active, attempt, outcome, ResultCode::Done).await;
    let request = &active.request;
    let (account_id, route_id) = (&request.account.id, &request.route.id);
    active.context.tables.lock_retry_budgets().record_success(account_id, route_id);
    active.context.tables.lock_quarantine().record_harmless(&request.fingerprint(), read_clock());
    metrics::counter!("sassafrashoist_tokens_billed_total").increment(billed_tokens);
    if complete.is_stream {
        return active.sink.end_stream(complete.body).await;
    }
    let mut response = build_response(complete.http_status, &complete.content_type, complete.body);
    if !complete.is_known_complete {
        log::info!(key = request.key; "response without length or chunks; not stored");
        response = response.map(hide_length);
        delimit_by_close(&mut response);
    }
    set_result_headers(&mut response, &request.key, ResultCode::Done);
    active.sink.send_response(response);
}

/// Settles a request that was cancelled because its caller disconnected.
pub async fn end_cancelled(
    active: &mut ActiveRequest,
    dispatched: Request<Dispatched>,
    used_tokens: Tokens,
) {
    let attempt = dispatched.attempt();
    let billed_tokens = dispatched.settle(used_tokens).billed_tokens();
    let outcome = SettleOutcome::Ran { used_tokens: billed_tokens, response: None };
    settle(active, attempt, outcome, ResultCode::AnswerCut).await;
    active.sink.refuse(&Refusal::of(ResultCode::AnswerCut)).await;
}

/// Ends a request whose attempts failed, and refuses it.
pub async fn end_failed(active: &mut ActiveRequest, failed: Undispatched, code: ResultCode) {
    match failed {
        Undispatched::Admitted(admitted) => end_not_run(active, admitted, code).await,
        Undispatched::InDoubt(in_doubt) => end_in_doubt(active, in_doubt, code).await,
    }
}

/// Releases the tokens that the owner may have reserved for a request that this VM never sent to a
/// backend server.
///
/// Only for a request without a caller's key, which no other VM can have admitted.
pub fn release_possible_reservation(active: &ActiveRequest) {
    spawn_settle(active, 1, SettleOutcome::NotRun, ResultCode::AttemptsFailed);
}

/// Ends a request that did not run. A keyed request is reported as *not run* only when the owner
/// confirms that no other VM has taken it over.
async fn end_not_run(active: &mut ActiveRequest, admitted: Request<Admitted>, code: ResultCode) {
    let undispatched = Undispatched::Admitted(admitted);
    let attempt = undispatched.attempt();
    let decision = settle(active, attempt, SettleOutcome::NotRun, code).await;
    let is_confirmed = matches!(decision, Some(SettleDecision::Settled { .. }));
    let Undispatched::Admitted(admitted) = undispatched else {
        return;
    };
    let retry_after = Some(FAILED_RETRY_AFTER);
    if !is_confirmed && active.request.is_keyed {
        let refusal = Refusal::of(ResultCode::OutcomeUnknown).retry_after(retry_after);
        return active.sink.refuse(&refusal).await;
    }
    let (_, outcome) = admitted.refuse(code);
    let mut refusal = Refusal::of(code).retry_after(retry_after);
    refusal.outcome = outcome;
    active.sink.refuse(&refusal).await;
}

/// Ends a request that may have run.
///
/// A request that may be rerun is settled with its known cost if it has no caller's key, since
/// nobody can request its response again, or if it is quarantined. Any other request stays
/// *unknown* and keeps its reservation until a later attempt or a late response settles it.
async fn end_in_doubt(active: &mut ActiveRequest, in_doubt: Request<InDoubt>, cause: ResultCode) {
    let spent_tokens = in_doubt.spent_tokens();
    let attempt = Undispatched::InDoubt(in_doubt).attempt();
    let has_forwarded_parts = active.sink.has_forwarded_parts();
    let is_quarantined = cause == ResultCode::Quarantined;
    let code = match (is_quarantined, has_forwarded_parts) {
        (true, _) => ResultCode::Quarantined,
        (false, true) => ResultCode::AnswerCut,
        (false, false) => ResultCode::OutcomeUnknown,
    };
    let may_rerun = active.request.retry_rules().may_rerun();
    let outcome = if may_rerun && (!active.request.is_keyed || is_quarantined) {
        let max_used_tokens = if has_forwarded_parts {
            active.request.max_used_tokens(active.sink.next_index())
        } else {
            0
        };
        let used_tokens = spent_tokens.max(max_used_tokens).min(active.request.worst_case_tokens);
        SettleOutcome::Ran { used_tokens, response: None }
    } else {
        SettleOutcome::Unknown
    };
    settle(active, attempt, outcome, code).await;
    let retry_after = (may_rerun && !is_quarantined).then_some(FAILED_RETRY_AFTER);
    let mut refusal = Refusal::of(code).retry_after(retry_after);
    if is_quarantined {
        refusal.outcome = Outcome::Unknown;
    }
    active.sink.refuse(&refusal).await;
}

fn build_stored_response(
    active: &mut ActiveRequest,
    complete: &CompleteResponse,
) -> Option<StoredResponse> {
    if !active.request.is_keyed || !complete.is_known_complete {
        return None;
    }
    if complete.is_stream {
        let body = active.sink.take_recorded_body(&complete.body);
        return Some(StoredResponse {
            http_status: 200,
            content_type: EVENT_STREAM_TYPE.into(),
            body,
        });
    }
    Some(StoredResponse {
        http_status: complete.http_status,
        content_type: complete.content_type.clone(),
        body: complete.body.to_vec(),
    })
}

/// Settles an attempt, and waits for the owner at most [`MAX_SETTLE_WAIT`].
async fn settle(
    active: &ActiveRequest,
    attempt: AttemptNumber,
    outcome: SettleOutcome,
    code: ResultCode,
) -> Option<SettleDecision> {
    let settling = spawn_settle(active, attempt, outcome, code);
    tokio::time::timeout(MAX_SETTLE_WAIT, settling).await.ok()?.ok()?
}

fn spawn_settle(
    active: &ActiveRequest,
    attempt: AttemptNumber,
    outcome: SettleOutcome,
    code: ResultCode,
) -> tokio::task::JoinHandle<Option<SettleDecision>> {
    let context = Arc::clone(&active.context);
    let request = Arc::clone(&active.request);
    let has_cost = matches!(outcome, SettleOutcome::Ran { used_tokens: 1.., .. });
    active.context.settlements.spawn(async move {
        let _running_guard = context.registry.mark_running(&request.key);
        let decision = settle_request(&context, &request, attempt, outcome, code).await;
        if matches!(decision, Some(SettleDecision::Settled { .. } | SettleDecision::AlreadySettled))
        {
            context.registry.release_claim(&request.key);
        }
        let is_lost = has_cost && decision == Some(SettleDecision::UnknownKey);
        context.invariants.check(!is_lost, Invariant::Unbilled, &request.key);
        decision
    })
}
