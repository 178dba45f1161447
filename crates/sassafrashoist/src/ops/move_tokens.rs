//! Transfers tokens between the primaries of two data centres. A transfer is delivered again until
//! the receiver acknowledges it; the receiver credits it once.

use serde::{Deserialize, Serialize};

use crate::core::peer_clients::{PeerError, decode_response};
use crate::core::router_context::RouterContext;
use crate::ops::commit_change::{CommitError, commit_change};
use crate::ops::find_tokens::read_undrawn;
use sassafrashoist_core::budgets::shard::shard_of;
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::Tokens;
use sassafrashoist_core::owner::shard_replica::ChangeNumber;
use sassafrashoist_core::owner::shard_table::ShardChange;
use sassafrashoist_core::owner::transfer::{Transfer, TransferRequest};
use sassafrashoist_core::result_code::ResultCode;

/// A message between the primaries of two data centres.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TransferMessage {
    /// Requests tokens from the addressed primary.
    #[serde(rename = "Ask")]
    Request(TransferRequest),
    /// Delivers a transfer to the receiver.
    Deliver(Transfer),
    /// Tells the sender that the receiver has committed a transfer.
    Acknowledge(Transfer),
}

/// The response to a [`TransferMessage`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TransferResponse {
    /// The response to a request for tokens.
    #[serde(rename = "Given")]
    Sent {
        /// The budget's open transfers to the requesting data centre.
        transfers: Vec<Transfer>,
        /// The tokens reserved by requests in progress at the sender.
        reserved_tokens: Tokens,
        /// The tokens of the sender's share that are not drawn yet.
        undrawn_tokens: Tokens,
    },
    /// The message was applied.
    Done,
}

/// The result of requesting tokens from one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenRequestOutcome {
    /// The tokens received.
    pub received_tokens: Tokens,
    /// The tokens that may become available there: those reserved by requests in progress, and
    /// those of its share that are not drawn yet.
    pub pending_tokens: Tokens,
    /// Whether the request failed.
    pub is_unreachable: bool,
}

/// Requests tokens from another data centre and applies the transfers that it sends.
pub async fn request_tokens(
    context: &RouterContext,
    data_centre_id: &String,
    budget_id: &str,
    requested_tokens: Tokens,
    is_urgent: bool,
) -> TokenRequestOutcome {
    let request = TransferRequest {
        to_data_centre_id: context.settings.data_centre_id.clone(),
        budget_id: budget_id.to_owned(),
        requested_tokens,
        is_urgent,
    };
    match try_request_tokens(context, data_centre_id, request).await {
        Ok(outcome) => outcome,
        Err(error) => {
            log::debug!(data_centre = data_centre_id; "failed to request tokens: {error}");
            TokenRequestOutcome { is_unreachable: true, ..TokenRequestOutcome::default() }
        }
    }
}

async fn try_request_tokens(
    context: &RouterContext,
    data_centre_id: &String,
    request: TransferRequest,
) -> Result<TokenRequestOutcome, PeerError> {
    let budget_id = &request.budget_id.clone();
    let message = TransferMessage::Request(request);
    let response = send_to_primary(context, data_centre_id, budget_id, &message).await?;
    let TransferResponse::Sent { transfers, reserved_tokens, undrawn_tokens } = response else {
        return Ok(TokenRequestOutcome::default());
    };
    let mut received_tokens = 0;
    for transfer in transfers {
        if receive_transfer(context, &transfer).await.is_ok() {
            received_tokens += transfer.tokens;
            let acknowledge = TransferMessage::Acknowledge(transfer);
            let _ = send_to_primary(context, data_centre_id, budget_id, &acknowledge).await;
        }
    }
    let pending_tokens = reserved_tokens + undrawn_tokens;
    Ok(TokenRequestOutcome { received_tokens, pending_tokens, is_unreachable: false })
}

async fn send_to_primary(
    context: &RouterContext,
    data_centre_id: &String,
    budget_id: &str,
    message: &TransferMessage,
) -> Result<TransferResponse, PeerError> {
    let vm_id = context
        .owner_vm(data_centre_id, budget_id)
        .ok_or_else(|| PeerError::UnknownVm(format!("of data centre {data_centre_id}")))?;
    let peer_request = context.peers.request(message)?;
    let response = context.peers.owner_client(&vm_id)?.transfer(peer_request).await;
    decode_response(&vm_id, response)
}

/// Handles a message from another data centre's primary.
///
/// # Errors
///
/// Fails when this VM is not the primary for the budget, or its backup does not confirm the change.
pub async fn handle_transfer(
    context: &RouterContext,
    message: TransferMessage,
) -> Result<TransferResponse, CommitError> {
    match message {
        TransferMessage::Request(request) => handle_token_request(context, request).await,
        TransferMessage::Deliver(transfer) => {
            receive_transfer(context, &transfer).await?;
            Ok(TransferResponse::Done)
        }
        TransferMessage::Acknowledge(transfer) => {
            let mut owner = context.tables.lock_owner();
            if let Some(replica) = owner.replica_mut(transfer.from.shard) {
                replica.acknowledge(&transfer);
            }
            Ok(TransferResponse::Done)
        }
    }
}

async fn handle_token_request(
    context: &RouterContext,
    request: TransferRequest,
) -> Result<TransferResponse, CommitError> {
    let TransferRequest { to_data_centre_id, budget_id, .. } = request.clone();
    let shard = shard_of(&budget_id);
    let sent = {
        let mut owner = context.tables.lock_owner();
        if !owner.is_primary_for(&budget_id) {
            return Err(CommitError::NotPrimary);
        }
        owner.replica_mut(shard).and_then(|replica| replica.send_tokens(request))
    };
    if let Some(change) = sent {
        commit_change(context, ShardChange { shard, number: change }).await?;
    }
    let undrawn_tokens = read_undrawn(context, &budget_id);
    let owner = context.tables.lock_owner();
    let open = owner.replica(shard).map(|replica| replica.transfers_to_send()).unwrap_or_default();
    let is_requested =
        |t: &Transfer| t.to_data_centre_id == to_data_centre_id && t.budget_id == budget_id;
    Ok(TransferResponse::Sent {
        transfers: open.into_iter().filter(is_requested).collect(),
        reserved_tokens: owner.account(&budget_id).reserved_tokens,
        undrawn_tokens,
    })
}

async fn receive_transfer(context: &RouterContext, transfer: &Transfer) -> Result<(), CommitError> {
    let shard = shard_of(&transfer.budget_id);
    let change: Option<ChangeNumber> = {
        let mut owner = context.tables.lock_owner();
        owner.replica_mut(shard).and_then(|replica| replica.receive_transfer(transfer))
    };
    let change = change.ok_or(CommitError::NotPrimary)?;
    commit_change(context, ShardChange { shard, number: change }).await?;
    let reason = format!(
        "{} tokens of budget {} received from {} as transfer {}/{}",
        transfer.tokens,
        transfer.budget_id,
        transfer.from.data_centre_id,
        transfer.series_epoch,
        transfer.number
    );
    context.record_decision("", DecisionKind::Transfer, ResultCode::Done, reason);
    Ok(())
}

/// Delivers every transfer that is not acknowledged to its receiver again.
pub async fn resend_transfers(context: &RouterContext) {
    let open: Vec<Transfer> = {
        let owner = context.tables.lock_owner();
        owner.replicas().values().flat_map(|replica| replica.transfers_to_send()).collect()
    };
    for transfer in open {
        let deliver = TransferMessage::Deliver(transfer.clone());
        let to = &transfer.to_data_centre_id;
        if send_to_primary(context, to, &transfer.budget_id, &deliver).await.is_ok()
            && let Some(replica) = context.tables.lock_owner().replica_mut(transfer.from.shard)
        {
            replica.acknowledge(&transfer);
        }
    }
}
