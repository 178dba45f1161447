//! Handles one request at the VM that received it.
//!
//! The steps: choose a backend server, reserve the worst-case cost at the owner, send the attempt,
//! forward the response, settle. They run in a separate task, so that a caller's disconnect does
//! not stop a request that must run to completion.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use tokio::sync::oneshot;
use volo_http::body::Body;

use crate::core::caller_request::CallerRequest;
use crate::core::drain_gate::{InFlightGuard, attach_guard};
use crate::core::refusal::Refusal;
use crate::core::response_sink::ResponseSink;
use crate::core::router_context::RouterContext;
use crate::ops::admit_request::admit_request;
use crate::ops::await_known_request::await_known_request;
use crate::ops::end_request::release_possible_reservation;
use crate::ops::quarantine_requests::place_request;
use crate::ops::refuse_unless_known::refuse_unless_known;
use crate::ops::run_attempts::{ActiveRequest, run_attempts};
use crate::util::http_response::build_refusal_response;
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::owner::admit::AdmitDecision;
use sassafrashoist_core::requests::life_cycle::{Request, Undispatched};
use sassafrashoist_core::result_code::{Outcome, ResultCode};

/// The `Retry-After` of a VM that drains; by then the load balancer has seen that it is not ready.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a validated request and returns the response.
pub async fn handle_request(
    context: &Arc<RouterContext>,
    request: CallerRequest,
) -> Response<Body> {
    let Some(guard) = context.drain_gate.try_enter() else {
        let refusal = Refusal::of(ResultCode::Draining).retry_after(Some(DRAINING_RETRY_AFTER));
        return build_refusal_response(&request.key, &refusal);
    };
    let (sender, receiver) = oneshot::channel();
    let key = request.key.clone();
    let sink = ResponseSink::new(key.clone(), request.is_keyed, request.deadline, sender);
    let active = ActiveRequest::new(Arc::clone(context), request, sink);
    let task_guard = Arc::clone(&guard);
    tokio::spawn(serve_request(active, task_guard));
    let response = match receiver.await {
        Ok(response) => response,
        Err(_) => build_refusal_response(&key, &Refusal::of(ResultCode::OutcomeUnknown)),
    };
    attach_guard(response, guard)
}

async fn serve_request(mut active: ActiveRequest, _guard: Arc<InFlightGuard>) {
    let context = Arc::clone(&active.context);
    let request = Arc::clone(&active.request);
    let limiters = &context.account_limiters;
    let _permit = match limiters.try_acquire(&request.account, request.worst_case_tokens) {
        Ok(permit) => permit,
        Err(refusal) => {
            let reason = format!("limit of account {}", request.account.id);
            context.record_decision(&request.key, DecisionKind::Admit, refusal.code, reason);
            return refuse_unless_known(&mut active, &refusal).await;
        }
    };
    let (server, placement) = match place_request(&active).await {
        Ok(placed) => placed,
        Err(refusal) => return refuse_unless_known(&mut active, &refusal).await,
    };
    let running_guard = context.registry.mark_running(&request.key);
    let decision = match admit_request(&context, &request, &server.server_id).await {
        Ok(decision) => decision,
        Err(error) => {
            let mut refusal = Refusal::new(ResultCode::OwnerOutOfReach, error.to_string())
                .retry_after(Some(Duration::from_secs(1)));
            if !request.is_keyed {
                release_possible_reservation(&active);
                refusal.outcome = Outcome::NotRun;
            }
            return active.sink.refuse(&refusal).await;
        }
    };
    match decision {
        AdmitDecision::Admitted { attempt } => {
            let (account_id, route_id) = (&request.account.id, &request.route.id);
            context.tables.lock_retry_budgets().record_first_attempt(account_id, route_id);
            let received = Request::new(request.key.clone());
            let admitted = received.admit(request.worst_case_tokens, attempt);
            let undispatched = Undispatched::Admitted(admitted);
            run_attempts(&mut active, undispatched, server, placement).await;
        }
        AdmitDecision::Known(state) => {
            drop((running_guard, placement));
            await_known_request(&mut active, state).await;
        }
        AdmitDecision::Refused { code, retry_after } => {
            active.sink.refuse(&Refusal::of(code).retry_after(retry_after)).await;
        }
    }
}
