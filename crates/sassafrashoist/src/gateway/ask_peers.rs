//! Asks other VMs for tokens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use sassafrashoist_core::ids::Tokens;

use super::gateway_context::GatewayContext;
use super::peer_messages::{TRANSFER_PATH, TransferAnswer, TransferQuestion};
use super::send_message::send_message;
use super::token_book::RichPeer;

/// How often a question is asked until it is answered: tokens of a lost answer are in doubt.
const MAX_QUESTIONS: u32 = 8;
/// Pause before a question is asked again.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);

/// Asks another VM for tokens and takes them in.
///
/// Goes on in a task of its own, so that tokens that are given after the request stopped waiting
/// are not lost.
pub async fn ask_peer(
    context: &Arc<GatewayContext>,
    peer: RichPeer,
    account_id: &str,
    needed_tokens: Tokens,
    liked_tokens: Tokens,
) {
    let transfer_id = context.lock_tokens().next_transfer_id();
    let question = TransferQuestion {
        transfer_id,
        holder_id: peer.holder_id,
        account_id: account_id.to_owned(),
        needed_tokens,
        liked_tokens,
    };
    let address = peer.address;
    let context = Arc::clone(context);
    let task = tokio::spawn(async move { ask_until_answered(&context, address, &question).await });
    if let Err(error) = task.await {
        log::error!(account = account_id, error:% = error; "question to another VM failed");
    }
}

async fn ask_until_answered(
    context: &GatewayContext,
    address: SocketAddr,
    question: &TransferQuestion,
) {
    let account_id = &question.account_id;
    for count in 1..=MAX_QUESTIONS {
        let asked_at = context.now();
        match ask_once(address, question).await {
            Ok(reply) => {
                let mut tokens = context.lock_tokens();
                let now = context.now();
                tokens.ask_ahead.record_response_time(now.saturating_sub(asked_at));
                tokens.holding.receive_tokens_for_request(account_id, reply.given_tokens, now);
                tokens.hear(&question.holder_id, account_id, reply.left_tokens, now);
                tokens.hear_spent(&question.holder_id, account_id, reply.spent_tokens, now);
                drop(tokens);
                log::info!(
                    account = account_id, from = question.holder_id, given = reply.given_tokens;
                    "tokens received from another VM"
                );
                context.serve_waiting_requests();
                return;
            }
            Err(error) => {
                log::warn!(
                    account = account_id, from = question.holder_id, question = count,
                    error:% = format!("{error:#}");
                    "another VM did not answer"
                );
                context.lock_tokens().hear(&question.holder_id, account_id, 0, context.now());
                tokio::time::sleep(REPEAT_PAUSE).await;
            }
        }
    }
}

async fn ask_once(
    address: SocketAddr,
    question: &TransferQuestion,
) -> eyre::Result<TransferAnswer> {
    let body = send_message(address, TRANSFER_PATH, question).await?;
    postcard::from_bytes(&body).wrap_err("failed to decode the answer")
}
