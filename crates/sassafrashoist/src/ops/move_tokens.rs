//! Moves tokens between the primaries of two data centres.

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

/// A message about a transfer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TransferCall {
    /// Asks the giver for tokens.
    Ask(TransferRequest),
    /// Brings the taker a transfer.
    Deliver(Transfer),
    /// Tells the giver that the taker has a transfer.
    Acknowledge(Transfer),
}

/// The answer to a message about a transfer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TransferReply {
    /// The giver's answer.
    Given {
        /// The transfers of the budget on their way to the data centre that asked.
        transfers: Vec<Transfer>,
        /// The tokens reserved by requests in progress at the giver.
        reserved_tokens: Tokens,
        /// The tokens of the giver's share that it has yet to draw.
        undrawn_tokens: Tokens,
    },
    /// The message was taken in.
    Done,
}

/// What asking one data centre brought.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AskOutcome {
    /// The tokens received.
    pub received_tokens: Tokens,
    /// The tokens that requests in progress there, or a draw, may yet free.
    pub reserved_tokens: Tokens,
    /// Whether it did not answer.
    pub is_out_of_reach: bool,
}

/// Asks another data centre for tokens and takes in what it gives.
pub async fn ask_for_tokens(
    context: &RouterContext,
    data_centre_id: &String,
    budget_id: &str,
    wanted_tokens: Tokens,
    is_urgent: bool,
) -> AskOutcome {
    let request = TransferRequest {
        to_data_centre_id: context.settings.data_centre_id.clone(),
        budget_id: budget_id.to_owned(),
        requested_tokens: wanted_tokens,
        is_urgent,
    };
    match try_ask(context, data_centre_id, request).await {
        Ok(outcome) => outcome,
        Err(error) => {
            log::debug!(data_centre = data_centre_id; "failed to ask for tokens: {error}");
            AskOutcome { is_out_of_reach: true, ..AskOutcome::default() }
        }
    }
}

async fn try_ask(
    context: &RouterContext,
    data_centre_id: &String,
    request: TransferRequest,
) -> Result<AskOutcome, PeerError> {
    let budget_id = &request.budget_id.clone();
    let ask = TransferCall::Ask(request);
    let reply = call_primary(context, data_centre_id, budget_id, &ask).await?;
    let TransferReply::Given { transfers, reserved_tokens, undrawn_tokens } = reply else {
        return Ok(AskOutcome::default());
    };
    let mut received_tokens = 0;
    for transfer in transfers {
        if receive_transfer(context, &transfer).await.is_ok() {
            received_tokens += transfer.tokens;
            let acknowledge = TransferCall::Acknowledge(transfer);
            let _ = call_primary(context, data_centre_id, budget_id, &acknowledge).await;
        }
    }
    let reserved_tokens = reserved_tokens + undrawn_tokens;
    Ok(AskOutcome { received_tokens, reserved_tokens, is_out_of_reach: false })
}

async fn call_primary(
    context: &RouterContext,
    data_centre_id: &String,
    budget_id: &str,
    message: &TransferCall,
) -> Result<TransferReply, PeerError> {
    let vm_id = context
        .owner_vm(data_centre_id, budget_id)
        .ok_or_else(|| PeerError::UnknownVm(format!("of data centre {data_centre_id}")))?;
    let call = context.peers.request(message)?;
    let answer = context.peers.owner_client(&vm_id)?.transfer(call).await;
    decode_response(&vm_id, answer)
}

/// Handles a message of another data centre's primary.
///
/// # Errors
///
/// Fails when this VM does not decide for the budget, or its backup does not confirm.
pub async fn handle_transfer(
    context: &RouterContext,
    message: TransferCall,
) -> Result<TransferReply, CommitError> {
    match message {
        TransferCall::Ask(request) => give_tokens(context, request).await,
        TransferCall::Deliver(transfer) => {
            receive_transfer(context, &transfer).await?;
            Ok(TransferReply::Done)
        }
        TransferCall::Acknowledge(transfer) => {
            let mut owner = context.tables.lock_owner();
            if let Some(replica) = owner.replica_mut(transfer.from.shard) {
                replica.acknowledge(&transfer);
            }
            Ok(TransferReply::Done)
        }
    }
}

async fn give_tokens(
    context: &RouterContext,
    request: TransferRequest,
) -> Result<TransferReply, CommitError> {
    let TransferRequest { to_data_centre_id, budget_id, .. } = request.clone();
    let shard = shard_of(&budget_id);
    let given = {
        let mut owner = context.tables.lock_owner();
        if !owner.is_primary_for(&budget_id) {
            return Err(CommitError::NotPrimary);
        }
        owner.replica_mut(shard).and_then(|replica| replica.send_tokens(request))
    };
    if let Some(change) = given {
        commit_change(context, ShardChange { shard, change }).await?;
    }
    let undrawn_tokens = read_undrawn(context, &budget_id);
    let owner = context.tables.lock_owner();
    let open = owner.replica(shard).map(|replica| replica.transfers_to_send()).unwrap_or_default();
    let is_asked_for =
        |t: &Transfer| t.to_data_centre_id == to_data_centre_id && t.budget_id == budget_id;
    Ok(TransferReply::Given {
        transfers: open.into_iter().filter(is_asked_for).collect(),
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
    commit_change(context, ShardChange { shard, change }).await?;
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

/// Brings the takers every transfer that is not acknowledged.
pub async fn repeat_transfers(context: &RouterContext) {
    let open: Vec<Transfer> = {
        let owner = context.tables.lock_owner();
        owner.replicas().values().flat_map(|replica| replica.transfers_to_send()).collect()
    };
    for transfer in open {
        let deliver = TransferCall::Deliver(transfer.clone());
        let to = &transfer.to_data_centre_id;
        if call_primary(context, to, &transfer.budget_id, &deliver).await.is_ok()
            && let Some(replica) = context.tables.lock_owner().replica_mut(transfer.from.shard)
        {
            replica.acknowledge(&transfer);
        }
    }
}
