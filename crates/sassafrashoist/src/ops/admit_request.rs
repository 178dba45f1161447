//! Reserves a request's tokens at the owner of its budget.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::core::caller_request::CallerRequest;
use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use crate::ops::decide_admission::{decide_admission, decide_redirect, read_entry};
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::{AttemptNumber, BackendServerId, BudgetId, RequestKey, VmId};
use sassafrashoist_core::owner::admit::{AdmitDecision, AdmitRequest};
use sassafrashoist_core::owner::settle::RedirectRequest;
use sassafrashoist_core::requests::key_entry::{
    AttemptRunner, EarlierAttempts, KeyEntry, KeyState,
};
use sassafrashoist_core::result_code::ResultCode;

/// How long a request waits for a VM that can decide on its admission.
const OWNER_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of the first attempt of a request.
const FIRST_ATTEMPT: AttemptNumber = 1;
/// Delay between two tries to reach the owner.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reserves a request's tokens at the owner.
///
/// # Errors
///
/// Fails when the owner cannot be reached. The owner may then have admitted the request all the
/// same.
pub async fn admit_request(
    context: &RouterContext,
    request: &CallerRequest,
    server_id: &BackendServerId,
) -> Result<AdmitDecision, PeerError> {
    let admit = AdmitRequest {
        key: request.key.clone(),
        binding: request.binding.clone(),
        budget_id: request.budget_id.clone(),
        worst_case_tokens: request.worst_case_tokens,
        is_idempotent: request.route.is_idempotent,
        runner: own_runner(context, server_id),
    };
    let deadline = Instant::now() + request.time_left().min(OWNER_TIMEOUT);
    let mut may_be_admitted = false;
    loop {
        let error = match try_admit(context, request, &admit, may_be_admitted).await {
            Ok(decision) => return Ok(decision),
            Err(error) => error,
        };
        may_be_admitted = true;
        if Instant::now() >= deadline {
            return Err(error);
        }
        sleep(OWNER_RETRY_DELAY).await;
    }
}

async fn try_admit(
    context: &RouterContext,
    request: &CallerRequest,
    admit: &AdmitRequest,
    may_be_admitted: bool,
) -> Result<AdmitDecision, PeerError> {
    let owner_vm_id = find_owner(context, request)?;
    let decision = if owner_vm_id == context.settings.vm_id {
        decide_admission(context, admit.clone()).await.map_err(PeerError::LocalDecision)?
    } else {
        let peer_request = context.peers.request(admit)?;
        let response = context.peers.owner_client(&owner_vm_id)?.admit(peer_request).await;
        decode_response(&owner_vm_id, response)?
    };
    let decision = adopt_own_entry(context, request, admit, may_be_admitted, decision);
    record_admission(context, request, &owner_vm_id, &decision);
    Ok(decision)
}

/// Turns a known key into an admission if an earlier try to admit this same request created the
/// entry and the owner's response was lost.
///
/// No other request can use a key that this router generated. Under a caller's key, the entry of
/// this VM's first attempt is this request's if one of its tries got no response and no other
/// request of this process was admitted under the key.
fn adopt_own_entry(
    context: &RouterContext,
    request: &CallerRequest,
    admit: &AdmitRequest,
    may_be_admitted: bool,
    decision: AdmitDecision,
) -> AdmitDecision {
    match decision {
        AdmitDecision::Known(KeyState::Running { attempt, runner }) if runner == admit.runner => {
            let is_own = !request.is_keyed
                || may_be_admitted
                    && attempt == FIRST_ATTEMPT
                    && context.registry.claim_admission(&request.key);
            if is_own {
                AdmitDecision::Admitted { attempt }
            } else {
                AdmitDecision::Known(KeyState::Running { attempt, runner })
            }
        }
        AdmitDecision::Admitted { attempt } => {
            if request.is_keyed {
                context.registry.claim_admission(&request.key);
            }
            AdmitDecision::Admitted { attempt }
        }
        decision => decision,
    }
}

/// Records at the owner that the next attempt goes to another backend server.
///
/// Returns the number of the next attempt, or `None` when another attempt has superseded this one.
///
/// # Errors
///
/// Fails when the owner cannot be reached.
pub async fn redirect_request(
    context: &RouterContext,
    request: &CallerRequest,
    from_attempt: AttemptNumber,
    earlier: EarlierAttempts,
    server_id: &BackendServerId,
) -> Result<Option<AttemptNumber>, PeerError> {
    let redirect = RedirectRequest {
        key: request.key.clone(),
        from_attempt,
        earlier,
        runner: own_runner(context, server_id),
    };
    let owner_vm_id = find_owner(context, request)?;
    if owner_vm_id == context.settings.vm_id {
        let redirected = decide_redirect(context, &request.budget_id, redirect).await;
        return redirected.map_err(PeerError::LocalDecision);
    }
    let peer_request = context.peers.request(&(&request.budget_id, redirect))?;
    let response = context.peers.owner_client(&owner_vm_id)?.redirect(peer_request).await;
    decode_response(&owner_vm_id, response)
}

/// Reads the owner's entry of a request.
///
/// # Errors
///
/// Fails when the owner cannot be reached.
pub async fn lookup_request(
    context: &RouterContext,
    owner_vm_id: &VmId,
    budget_id: &BudgetId,
    key: &RequestKey,
) -> Result<Option<KeyEntry>, PeerError> {
    if *owner_vm_id == context.settings.vm_id {
        return read_entry(context, budget_id, key).map_err(PeerError::LocalDecision);
    }
    let peer_request = context.peers.request(&(budget_id, key))?;
    let response = context.peers.owner_client(owner_vm_id)?.lookup(peer_request).await;
    decode_response(owner_vm_id, response)
}

/// Returns the VM that owns a request's budget and key.
///
/// # Errors
///
/// Fails when no VM of the owning data centre is known.
pub fn find_owner(context: &RouterContext, request: &CallerRequest) -> Result<VmId, PeerError> {
    let data_centre_id = &request.owner_data_centre_id;
    context
        .owner_vm(data_centre_id, &request.budget_id)
        .ok_or_else(|| PeerError::UnknownVm(format!("of data centre {data_centre_id}")))
}

fn own_runner(context: &RouterContext, server_id: &BackendServerId) -> AttemptRunner {
    AttemptRunner {
        vm_id: context.settings.vm_id.clone(),
        incarnation: context.incarnation(),
        server_id: server_id.clone(),
    }
}

fn record_admission(
    context: &RouterContext,
    request: &CallerRequest,
    owner_vm_id: &VmId,
    decision: &AdmitDecision,
) {
    let (code, result) = match decision {
        AdmitDecision::Admitted { attempt } => (ResultCode::Done, format!("attempt {attempt}")),
        AdmitDecision::Known(_) => (ResultCode::Replayed, "key is known".to_owned()),
        AdmitDecision::Refused { code, .. } => (*code, "refused".to_owned()),
    };
    let reason = format!(
        "{result} for {} tokens of budget {} by owner {owner_vm_id}",
        request.worst_case_tokens, request.budget_id
    );
    context.record_decision(&request.key, DecisionKind::Admit, code, reason);
}
