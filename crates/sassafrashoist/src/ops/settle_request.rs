//! Reports to the owner of a budget how an attempt ended.

use std::time::Duration;

use crate::core::caller_request::CallerRequest;
use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use crate::ops::admit_request::find_owner;
use crate::ops::decide_admission::decide_settlement;
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::{AttemptNumber, VmId};
use sassafrashoist_core::owner::settle::{SettleDecision, SettleOutcome, SettleRequest};
use sassafrashoist_core::result_code::ResultCode;

/// Delay between two tries to reach the owner.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reports to the owner how an attempt ended. Retries until the owner has responded or the process
/// stops.
///
/// The owner settles an entry only once, so a retried settlement changes nothing.
pub async fn settle_request(
    context: &RouterContext,
    request: &CallerRequest,
    attempt: AttemptNumber,
    outcome: SettleOutcome,
    code: ResultCode,
) -> Option<SettleDecision> {
    let settle = SettleRequest { key: request.key.clone(), attempt, outcome, code };
    loop {
        match try_settle(context, request, &settle).await {
            Ok(decision) => {
                let reason = format!("attempt {attempt}: {decision:?}");
                context.record_decision(&request.key, DecisionKind::Settle, code, reason);
                return Some(decision);
            }
            Err(error) => {
                log::warn!(key = request.key; "failed to settle; retrying: {error}");
            }
        }
        tokio::select! {
            () = tokio::time::sleep(SETTLE_RETRY_DELAY) => {}
            () = context.cancel.cancelled() => return None,
        }
    }
}

async fn try_settle(
    context: &RouterContext,
    request: &CallerRequest,
    settle: &SettleRequest,
) -> Result<SettleDecision, PeerError> {
    let owner_vm_id: VmId = find_owner(context, request)?;
    if owner_vm_id == context.settings.vm_id {
        let settled = decide_settlement(context, &request.budget_id, settle.clone()).await;
        return settled.map_err(PeerError::LocalDecision);
    }
    let peer_request = context.peers.request(&(&request.budget_id, settle))?;
    let response = context.peers.owner_client(&owner_vm_id)?.settle(peer_request).await;
    decode_response(&owner_vm_id, response)
}
