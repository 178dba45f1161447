//! The life of one request at its entry VM.
//!
//! Choose a backend server, reserve the worst case at the owner, send the attempt, pass the answer
//! on, settle. The work runs in a task of its own, so a caller that disconnects does not stop a
//! request that must be followed to its end.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use tokio::sync::oneshot;
use volo_http::body::Body;

use crate::core::answer_sink::AnswerSink;
use crate::core::caller_request::CallerRequest;
use crate::core::drain_gate::{InFlightMark, mark_answer};
use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use crate::ops::admit_request::admit_request;
use crate::ops::end_request::release_in_doubt;
use crate::ops::follow_known_key::follow_known_key;
use crate::ops::quarantine_requests::place_request;
use crate::ops::refuse_place::refuse_place;
use crate::ops::run_attempts::{RequestRun, run_attempts};
use crate::util::http_answer::build_refusal;
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::owner::admit::AdmitDecision;
use sassafrashoist_core::requests::life_cycle::{Request, Undispatched};
use sassafrashoist_core::result_code::{Outcome, ResultCode};

/// The wait suggested to a caller of a VM that shuts down; the balancer knows by then.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a checked request and returns its answer.
pub async fn handle_request(
    context: &Arc<RouterContext>,
    request: CallerRequest,
) -> Response<Body> {
    let Some(mark) = context.drain_gate.try_enter() else {
        let refusal = Refusal::of(ResultCode::Draining).retry_after(Some(DRAINING_RETRY_AFTER));
        return build_refusal(&request.key, &refusal);
    };
    let (sender, receiver) = oneshot::channel();
    let key = request.key.clone();
    let sink = AnswerSink::new(key.clone(), request.is_keyed, request.deadline, sender);
    let run = RequestRun::new(Arc::clone(context), request, sink);
    let task_mark = Arc::clone(&mark);
    tokio::spawn(serve_request(run, task_mark));
    let response = match receiver.await {
        Ok(response) => response,
        Err(_) => build_refusal(&key, &Refusal::of(ResultCode::OutcomeUnknown)),
    };
    mark_answer(response, mark)
}

async fn serve_request(mut run: RequestRun, _mark: Arc<InFlightMark>) {
    let context = Arc::clone(&run.context);
    let request = Arc::clone(&run.request);
    let gates = &context.account_gates;
    let _pass = match gates.try_enter(&request.account, request.worst_case_tokens) {
        Ok(pass) => pass,
        Err(refusal) => {
            let reason = format!("limit of account {}", request.account.id);
            context.record_decision(&request.key, DecisionKind::Admit, refusal.code, reason);
            return refuse_place(&mut run, &refusal).await;
        }
    };
    let (server, placement) = match place_request(&run).await {
        Ok(placed) => placed,
        Err(refusal) => return refuse_place(&mut run, &refusal).await,
    };
    let running_mark = context.registry.mark_running(&request.key);
    let decision = match admit_request(&context, &request, &server.server_id).await {
        Ok(decision) => decision,
        Err(error) => {
            let mut refusal = Refusal::new(ResultCode::OwnerOutOfReach, error.to_string())
                .retry_after(Some(Duration::from_secs(1)));
            if !request.is_keyed {
                release_in_doubt(&run);
                refusal.outcome = Outcome::NotRun;
            }
            return run.sink.refuse(&refusal).await;
        }
    };
    match decision {
        AdmitDecision::Admitted { attempt } => {
            let (account_id, route_id) = (&request.account.id, &request.route.id);
            context.tables.lock_retry_budgets().record_first_attempt(account_id, route_id);
            let received = Request::new(request.key.clone());
            let admitted = received.admit(request.worst_case_tokens, attempt);
            let undispatched = Undispatched::Admitted(admitted);
            run_attempts(&mut run, undispatched, server, placement).await;
        }
        AdmitDecision::Known(state) => {
            drop((running_mark, placement));
            follow_known_key(&mut run, state).await;
        }
        AdmitDecision::Refused { code, retry_after } => {
            run.sink.refuse(&Refusal::of(code).retry_after(retry_after)).await;
        }
    }
}
