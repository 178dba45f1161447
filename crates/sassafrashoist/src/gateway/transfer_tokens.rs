//! Transfers tokens to other VMs without a request from them.
//!
//! Tokens that an incarnation of the process holds when it ends can be returned to the ledger only
//! through the log. When the log is unreachable, other VMs usually are reachable, and they can use
//! the tokens at once. A VM that does not draw also transfers the tokens that it will not need soon:
//! those of accounts without recent requests, and what it drew before the fleet grew.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::hand_over::plan_hand_overs;
use sassafrashoist_core::gateway::token_holding::{AccountTokens, TransferId};

use super::gateway_context::GatewayContext;
use super::peer_messages::{HAND_OVER_PATH, UnrequestedTransfer};
use super::send_message::send_message;
use super::token_book::PeerHolder;

/// The number of VMs that share the transferred tokens, so that the failure of one strands only a
/// part of them.
const RECEIVER_COUNT: usize = 3;
/// Delay before a message that may have been received is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// The maximum number of times that a message is sent to one VM. After that, the tokens of a
/// message that may have been received are given up.
const MAX_SENDS: u32 = 10;

/// Transfers the tokens that this VM will not need soon to allocator VMs.
pub fn transfer_idle_tokens(context: &Arc<GatewayContext>) {
    let now = context.now();
    let mut tokens = context.lock_tokens();
    let (nearby, remote) = tokens.peers_near_and_remote();
    if nearby.is_empty() && remote.is_empty() {
        return;
    }
    let idle_tokens = tokens.holding.send_idle_tokens(now);
    drop(tokens);
    for part in plan_hand_overs(&nearby, &remote, idle_tokens, rand::random()) {
        tokio::spawn(transfer_part(Arc::clone(context), part.receivers, part.tokens));
    }
}

/// Transfers all tokens to other VMs. Cancelled when time is up: what was sent counts as gone, what
/// was not sent yet stays.
pub async fn transfer_all_tokens(context: &Arc<GatewayContext>) {
    let peers = context.lock_tokens().peers_by_distance();
    let part_count = peers.len().min(RECEIVER_COUNT);
    if part_count == 0 {
        log::warn!("tokens not handed over: no other VM is known");
        return;
    }
    let parts = context.lock_tokens().holding.send_all_tokens(part_count, context.now());
    let tasks = parts.into_iter().enumerate().map(|(index, part)| {
        let mut receivers = peers.clone();
        receivers.rotate_left(index);
        tokio::spawn(transfer_part(Arc::clone(context), receivers, part))
    });
    for task in tasks.collect::<Vec<_>>() {
        if let Err(error) = task.await {
            log::error!(error:% = error; "task that transfers tokens to another VM failed");
        }
    }
}

/// Sends a part of this VM's tokens, already deducted from its holding, to the first VM that
/// accepts it; if none does, adds the tokens to the holding again.
async fn transfer_part(
    context: Arc<GatewayContext>,
    receivers: Vec<PeerHolder>,
    part: Vec<AccountTokens>,
) {
    for receiver in receivers {
        let transfer_id: TransferId = context.lock_tokens().next_transfer_id();
        let message = UnrequestedTransfer {
            transfer_id,
            holder_id: receiver.holder_id.clone(),
            sent: part.clone(),
        };
        let mut is_in_doubt = false;
        for _ in 0..MAX_SENDS {
            match send_message(receiver.address, HAND_OVER_PATH, &message).await {
                Ok(_) => {
                    log::info!(to = receiver.holder_id, given:? = part; "tokens handed over");
                    return;
                }
                Err(error) => {
                    log::warn!(
                        to = receiver.holder_id, error:% = error;
                        "tokens not handed over to another VM"
                    );
                    is_in_doubt |= error.is_in_doubt();
                }
            }
            if !is_in_doubt {
                break;
            }
            // The receiver may have the tokens already, so they must not be sent to another VM.
            tokio::time::sleep(RETRY_DELAY).await;
        }
        if is_in_doubt {
            log::warn!(to = receiver.holder_id, given:? = part; "tokens given up: no answer came");
            return;
        }
    }
    // No other VM has received the tokens, so they can still be returned to the ledger.
    let mut tokens = context.lock_tokens();
    for (account_id, count) in &part {
        tokens.holding.receive_tokens(account_id, *count);
    }
}
