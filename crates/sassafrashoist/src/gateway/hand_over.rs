//! Hands tokens over to other VMs.
//!
//! What a run holds when it ends can be handed back to the ledger only through the log. When that is
//! out of reach, the other VMs usually are not, and they can go on spending the tokens at once. A VM
//! that does not draw also hands over what it holds of accounts that it has no requests of.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::token_holding::{AccountTokens, TransferId};

use super::gateway_context::GatewayContext;
use super::peer_messages::{HAND_OVER_PATH, HandOver};
use super::send_message::send_message;
use super::token_book::RichPeer;

/// The VMs that share what is handed over, so that a single one that dies strands a part of it.
const RECEIVER_COUNT: usize = 3;
/// Pause before a message whose fate is unknown is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(30);
/// How often a message whose fate is unknown is sent; then its tokens are given up.
const MAX_SENDS: u32 = 10;

/// Hands tokens of accounts without requests over to another VM that draws.
pub fn hand_over_idle(context: &Arc<GatewayContext>) {
    let now = context.now();
    let mut tokens = context.lock_tokens();
    let receivers = tokens.peers_by_distance();
    if receivers.is_empty() {
        return;
    }
    let given = tokens.holding.send_idle_tokens(now);
    drop(tokens);
    if !given.is_empty() {
        tokio::spawn(hand_over_part(Arc::clone(context), receivers, given));
    }
}

/// Hands all tokens over to other VMs. Cancelled when time is up: what was sent counts as gone, what
/// was not sent yet stays.
pub async fn hand_over_tokens(context: &Arc<GatewayContext>) {
    let peers = context.lock_tokens().peers_by_distance();
    let part_count = peers.len().min(RECEIVER_COUNT);
    if part_count == 0 {
        log::warn!("tokens not handed over: no other VM is known");
        return;
    }
    let parts = context.lock_tokens().holding.send_all_tokens(part_count, context.now());
    let tasks = parts.into_iter().enumerate().map(|(index, given)| {
        let mut receivers = peers.clone();
        receivers.rotate_left(index);
        tokio::spawn(hand_over_part(Arc::clone(context), receivers, given))
    });
    for task in tasks.collect::<Vec<_>>() {
        if let Err(error) = task.await {
            log::error!(error:% = error; "handing over of tokens failed");
        }
    }
}

/// Sends one part to the first VM that takes it in.
async fn hand_over_part(
    context: Arc<GatewayContext>,
    receivers: Vec<RichPeer>,
    given: Vec<AccountTokens>,
) {
    for receiver in receivers {
        let transfer_id: TransferId = context.lock_tokens().next_transfer_id();
        let message =
            HandOver { transfer_id, holder_id: receiver.holder_id.clone(), given: given.clone() };
        let mut is_in_doubt = false;
        for _ in 0..MAX_SENDS {
            match send_message(receiver.address, HAND_OVER_PATH, &message).await {
                Ok(_) => {
                    log::info!(to = receiver.holder_id, given:? = given; "tokens handed over");
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
            // It may have them already, so no other VM can get them.
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
        if is_in_doubt {
            log::warn!(to = receiver.holder_id, given:? = given; "tokens given up: no answer came");
            return;
        }
    }
    // Nobody has them, so they can still be handed back to the ledger.
    let mut tokens = context.lock_tokens();
    for (account_id, count) in &given {
        tokens.holding.receive_tokens(account_id, *count);
    }
}
