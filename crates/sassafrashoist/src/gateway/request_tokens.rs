//! Requests tokens from another VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use sassafrashoist_core::ids::Tokens;

use super::gateway_context::GatewayContext;
use super::peer_messages::{TRANSFER_PATH, TokenTransferRequest, TokenTransferResponse};
use super::send_message::send_message;
use super::token_book::PeerHolder;

/// The maximum number of times that a transfer request is sent until a response comes. The tokens
/// of a lost response are held by neither VM until a retry gets them.
const MAX_ATTEMPTS: u32 = 8;
/// Delay before a transfer request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Requests tokens from another VM and adds them to this VM's holding.
///
/// Runs in a separate task that dropping this future does not cancel, so that tokens that arrive
/// after the caller's request stopped waiting are not lost.
pub async fn request_tokens(
    context: &Arc<GatewayContext>,
    peer: PeerHolder,
    account_id: &str,
    needed_tokens: Tokens,
    desired_tokens: Tokens,
) {
    let transfer_id = context.lock_tokens().next_transfer_id();
    let request = TokenTransferRequest {
        transfer_id,
        holder_id: peer.holder_id,
        account_id: account_id.to_owned(),
        needed_tokens,
        desired_tokens,
    };
    let address = peer.address;
    let context = Arc::clone(context);
    let task = tokio::spawn(async move { request_with_retries(&context, address, &request).await });
    if let Err(error) = task.await {
        log::error!(
            account = account_id, error:% = error;
            "task that requests tokens from another VM failed"
        );
    }
}

async fn request_with_retries(
    context: &GatewayContext,
    address: SocketAddr,
    request: &TokenTransferRequest,
) {
    let account_id = &request.account_id;
    for attempt in 1..=MAX_ATTEMPTS {
        let sent_at = context.now();
        match send_request(address, request).await {
            Ok(response) => {
                let mut tokens = context.lock_tokens();
                let now = context.now();
                tokens.prefetch.record_response_time(now.saturating_sub(sent_at));
                tokens.holding.receive_tokens_for_request(account_id, response.sent_tokens, now);
                tokens.record_available_tokens(
                    &request.holder_id,
                    account_id,
                    response.remaining_tokens,
                    now,
                );
                tokens.record_spent_tokens(
                    &request.holder_id,
                    account_id,
                    response.spent_tokens,
                    now,
                );
                drop(tokens);
                log::info!(
                    account = account_id, from = request.holder_id, given = response.sent_tokens;
                    "tokens received from another VM"
                );
                context.serve_waiting_requests();
                return;
            }
            Err(error) => {
                log::warn!(
                    account = account_id, from = request.holder_id, question = attempt,
                    error:% = format!("{error:#}");
                    "failed to request tokens from another VM"
                );
                context.lock_tokens().record_available_tokens(
                    &request.holder_id,
                    account_id,
                    0,
                    context.now(),
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn send_request(
    address: SocketAddr,
    request: &TokenTransferRequest,
) -> eyre::Result<TokenTransferResponse> {
    let body = send_message(address, TRANSFER_PATH, request).await?;
    postcard::from_bytes(&body).wrap_err("failed to decode the response")
}
