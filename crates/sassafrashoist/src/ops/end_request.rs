//! The ends of a request: what its owner records and what its caller is told.
//!
//! A settlement that the owner does not take at once goes on in a task of its own, so that no caller
//! waits for it.

use std::sync::Arc;
use std::time::Duration;

use crate::core::clock::read_clock;
use crate::core::refusal::Refusal;
use crate::core::response_sink::EVENT_STREAM_TYPE;
use crate::ops::pass_answer::WholeAnswer;
use crate::ops::run_attempts::RequestRun;
use crate::ops::settle_request::settle_request;
use crate::util::http_response::{build_response, set_result_headers};
use sassafrashoist_core::ids::{AttemptNumber, Tokens};
use sassafrashoist_core::invariants::Invariant;
use sassafrashoist_core::owner::settle::{SettleDecision, SettleOutcome};
use sassafrashoist_core::requests::key_entry::StoredResponse;
use sassafrashoist_core::requests::life_cycle::{
    Admitted, Dispatched, InDoubt, Request, Undispatched,
};
use sassafrashoist_core::result_code::{Outcome, ResultCode};

/// How long a caller waits for the owner to take a settlement.
const SETTLE_WAIT: Duration = Duration::from_millis(300);
/// The wait suggested to a caller whose request was given up.
const GIVEN_UP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settles a whole answer and sends its end to the caller.
pub async fn end_whole(run: &mut RequestRun, dispatched: Request<Dispatched>, whole: WholeAnswer) {
    let attempt = dispatched.attempt();
    let billed_tokens = dispatched.settle(whole.used_tokens).billed_tokens();
    let answer = keep_answer(run, &whole);
    let outcome = SettleOutcome::Ran { used_tokens: billed_tokens, response: answer };
    settle(run, attempt, outcome, ResultCode::Done).await;
    let request = &run.request;
    let (account_id, route_id) = (&request.account.id, &request.route.id);
    run.context.tables.lock_retry_budgets().record_success(account_id, route_id);
    run.context.tables.lock_quarantine().record_harmless(&request.fingerprint(), read_clock());
    metrics::counter!("sassafrashoist_tokens_billed_total").increment(billed_tokens);
    if whole.is_stream {
        return run.sink.end_stream(whole.body).await;
    }
    let mut response = build_response(whole.http_status, &whole.content_type, whole.body);
    set_result_headers(&mut response, &request.key, ResultCode::Done);
    run.sink.send_response(response);
}

/// Settles a request whose caller is gone and whose work was stopped.
pub async fn end_cancelled(
    run: &mut RequestRun,
    dispatched: Request<Dispatched>,
    used_tokens: Tokens,
) {
    let attempt = dispatched.attempt();
    let billed_tokens = dispatched.settle(used_tokens).billed_tokens();
    let outcome = SettleOutcome::Ran { used_tokens: billed_tokens, response: None };
    settle(run, attempt, outcome, ResultCode::AnswerCut).await;
    run.sink.refuse(&Refusal::of(ResultCode::AnswerCut)).await;
}

/// Ends a request whose attempts failed, with its final answer at once.
pub async fn give_up(run: &mut RequestRun, failed: Undispatched, code: ResultCode) {
    match failed {
        Undispatched::Admitted(admitted) => end_not_run(run, admitted, code).await,
        Undispatched::InDoubt(in_doubt) => end_in_doubt(run, in_doubt, code).await,
    }
}

/// Releases what the owner may have reserved for a request that this VM never sent.
///
/// Only for a request without a caller's key, which no other VM can have admitted.
pub fn release_in_doubt(run: &RequestRun) {
    spawn_settle(run, 1, SettleOutcome::NotRun, ResultCode::AttemptsFailed);
}

/// Says *not run* only when the owner agrees that no other VM took the request over.
async fn end_not_run(run: &mut RequestRun, admitted: Request<Admitted>, code: ResultCode) {
    let attempt = Undispatched::Admitted(admitted);
    let number = attempt.attempt();
    let decision = settle(run, number, SettleOutcome::NotRun, code).await;
    let is_agreed = matches!(decision, Some(SettleDecision::Settled { .. }));
    let Undispatched::Admitted(admitted) = attempt else {
        return;
    };
    let retry_after = Some(GIVEN_UP_RETRY_AFTER);
    if !is_agreed && run.request.is_keyed {
        let refusal = Refusal::of(ResultCode::OutcomeUnknown).retry_after(retry_after);
        return run.sink.refuse(&refusal).await;
    }
    let (_, outcome) = admitted.refuse(code);
    let mut refusal = Refusal::of(code).retry_after(retry_after);
    refusal.outcome = outcome;
    run.sink.refuse(&refusal).await;
}

/// A request without a key cannot be asked for again, so its known cost closes it; any other stays
/// unknown with its reservation, until a later attempt or a late answer closes it.
async fn end_in_doubt(run: &mut RequestRun, in_doubt: Request<InDoubt>, cause: ResultCode) {
    let spent_tokens = in_doubt.spent_tokens();
    let number = Undispatched::InDoubt(in_doubt).attempt();
    let has_passed_parts = run.sink.has_forwarded_parts();
    let is_quarantined = cause == ResultCode::Quarantined;
    let code = match (is_quarantined, has_passed_parts) {
        (true, _) => ResultCode::Quarantined,
        (false, true) => ResultCode::AnswerCut,
        (false, false) => ResultCode::OutcomeUnknown,
    };
    let may_repeat = run.request.retry_rules().may_rerun();
    let outcome = if may_repeat && (!run.request.is_keyed || is_quarantined) {
        let bound_tokens =
            if has_passed_parts { run.request.max_used_tokens(run.sink.next_index()) } else { 0 };
        let used_tokens = spent_tokens.max(bound_tokens).min(run.request.worst_case_tokens);
        SettleOutcome::Ran { used_tokens, response: None }
    } else {
        SettleOutcome::Unknown
    };
    settle(run, number, outcome, code).await;
    let retry_after = (may_repeat && !is_quarantined).then_some(GIVEN_UP_RETRY_AFTER);
    let mut refusal = Refusal::of(code).retry_after(retry_after);
    if is_quarantined {
        refusal.outcome = Outcome::Unknown;
    }
    run.sink.refuse(&refusal).await;
}

fn keep_answer(run: &mut RequestRun, whole: &WholeAnswer) -> Option<StoredResponse> {
    if !run.request.is_keyed {
        return None;
    }
    if whole.is_stream {
        let body = run.sink.take_recorded_body(&whole.body);
        return Some(StoredResponse {
            http_status: 200,
            content_type: EVENT_STREAM_TYPE.into(),
            body,
        });
    }
    Some(StoredResponse {
        http_status: whole.http_status,
        content_type: whole.content_type.clone(),
        body: whole.body.to_vec(),
    })
}

/// Settles an attempt, and waits for the owner only a short while.
async fn settle(
    run: &RequestRun,
    attempt: AttemptNumber,
    outcome: SettleOutcome,
    code: ResultCode,
) -> Option<SettleDecision> {
    let settling = spawn_settle(run, attempt, outcome, code);
    tokio::time::timeout(SETTLE_WAIT, settling).await.ok()?.ok()?
}

fn spawn_settle(
    run: &RequestRun,
    attempt: AttemptNumber,
    outcome: SettleOutcome,
    code: ResultCode,
) -> tokio::task::JoinHandle<Option<SettleDecision>> {
    let context = Arc::clone(&run.context);
    let request = Arc::clone(&run.request);
    let has_cost = matches!(outcome, SettleOutcome::Ran { used_tokens: 1.., .. });
    run.context.settlements.spawn(async move {
        let _running = context.registry.mark_running(&request.key);
        let decision = settle_request(&context, &request, attempt, outcome, code).await;
        let is_lost = has_cost && decision == Some(SettleDecision::UnknownKey);
        context.invariants.check(!is_lost, Invariant::Unbilled, &request.key);
        decision
    })
}
