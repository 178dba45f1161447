//! Serves the messages of other VMs: transfers of tokens, permits and limits of
//! backend servers, the origins of streams, crashes of backend servers, the configuration, and
//! connections to backend servers for VMs that have lost their own paths.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use tokio::net::TcpListener;

use super::config_messages::{CONFIG_PATH, ConfigResponse};
use super::crash_messages::{CRASHES_PATH, TRIAL_END_PATH, TRIAL_PATH};
use super::find_stream_origin::find_kept_origin;
use super::gateway_context::GatewayContext;
use super::isolate_suspects::{end_trial, grant_trial};
use super::issue_permit::issue_permit;
use super::listen::serve_listener;
use super::peer_messages::{
    HAND_OVER_PATH, TRANSFER_PATH, TokenTransferRequest, TokenTransferResponse, UnrequestedTransfer,
};
use super::permit_messages::{LIMIT_PATH, PERMIT_PATH};
use super::queue_entry::QueueEntry;
use super::relay_messages::RELAY_PATH;
use super::request_body::RequestBody;
use super::response_body::{ResponseBody, full_response};
use super::send_message::MAX_MESSAGE_BYTES;
use super::serve_relay::serve_relay;
use super::share_config::{answer_fetch, count_served};
use super::share_crashes::answer_exchange;
use super::share_limit::receive_notice;
use super::stream_origin_messages::STREAM_ORIGIN_PATH;

/// How long a message from another VM may take to arrive; longer than that VM waits.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a draw for another VM may take; slightly shorter than that VM waits for the response.
const DRAW_TIMEOUT: Duration = Duration::from_millis(90);

/// Serves the requests of other VMs until cancelled.
pub async fn serve_peers(context: Arc<GatewayContext>, listener: TcpListener) {
    let closing = context.cancel.clone();
    let connections = Arc::clone(&context.internal_connections);
    serve_listener(listener, connections, closing, move |request| {
        let context = Arc::clone(&context);
        async move { handle_request(&context, request).await }
    })
    .await;
}

async fn handle_request(
    context: &Arc<GatewayContext>,
    mut request: Request<RequestBody>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    if path == CONFIG_PATH {
        return serve_fetch(context, request).await;
    }
    let upgrade = hyper::upgrade::on(&mut request);
    let body = match receive_message(&path, request).await {
        Ok(body) => body,
        Err(status) => return empty_response(status),
    };
    match path.as_str() {
        TRANSFER_PATH => match postcard::from_bytes(&body) {
            Ok(request) => handle_transfer_request(context, &request).await,
            Err(error) => reject_malformed(&path, &error),
        },
        HAND_OVER_PATH => match postcard::from_bytes(&body) {
            Ok(message) => receive_transfer(context, &message),
            Err(error) => reject_malformed(&path, &error),
        },
        PERMIT_PATH => match postcard::take_from_bytes(&body) {
            Ok((request, rest)) => {
                let cold = postcard::from_bytes(rest).ok();
                encode_response(&issue_permit(context, &request, cold).await)
            }
            Err(error) => reject_malformed(&path, &error),
        },
        LIMIT_PATH => match postcard::from_bytes(&body) {
            Ok(notice) => {
                receive_notice(context, &notice);
                empty_response(StatusCode::OK)
            }
            Err(error) => reject_malformed(&path, &error),
        },
        STREAM_ORIGIN_PATH => match postcard::from_bytes(&body) {
            Ok(question) => encode_response(&find_kept_origin(context, &question)),
            Err(error) => reject_malformed(&path, &error),
        },
        CRASHES_PATH => match postcard::from_bytes(&body) {
            Ok(report) => encode_response(&answer_exchange(context, &report)),
            Err(error) => reject_malformed(&path, &error),
        },
        TRIAL_PATH => match postcard::from_bytes(&body) {
            Ok(request) => encode_response(&grant_trial(context, &request)),
            Err(error) => reject_malformed(&path, &error),
        },
        TRIAL_END_PATH => match postcard::from_bytes(&body) {
            Ok(end) => {
                end_trial(context, &end);
                empty_response(StatusCode::OK)
            }
            Err(error) => reject_malformed(&path, &error),
        },
        RELAY_PATH => match postcard::from_bytes(&body) {
            Ok(request) => serve_relay(context, &request, upgrade).await,
            Err(error) => reject_malformed(&path, &error),
        },
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Receives a message of another VM; fails with the status of the response if it is not complete.
async fn receive_message(path: &str, request: Request<RequestBody>) -> Result<Bytes, StatusCode> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect();
    match tokio::time::timeout(MESSAGE_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => {
            log::warn!(path = path, error:% = error; "failed to read a message from another VM");
            Err(StatusCode::BAD_REQUEST)
        }
        Err(_) => {
            log::warn!(path = path; "message from another VM not complete in time");
            Err(StatusCode::REQUEST_TIMEOUT)
        }
    }
}

/// Responds to a request for the configuration, unless too many others are in progress. The message
/// is received in both cases, because the sender may miss a response that comes before its end.
async fn serve_fetch(
    context: &Arc<GatewayContext>,
    request: Request<RequestBody>,
) -> Response<ResponseBody> {
    let permit = context.served_fetches.try_acquire();
    let body = match receive_message(CONFIG_PATH, request).await {
        Ok(body) => body,
        Err(status) => return empty_response(status),
    };
    if permit.is_err() {
        count_served("busy");
        return encode_response(&ConfigResponse::Busy);
    }
    match postcard::from_bytes(&body) {
        Ok(request) => encode_response(&answer_fetch(context, &request)),
        Err(error) => reject_malformed(CONFIG_PATH, &error),
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    full_response(status, HeaderMap::new(), Bytes::new())
}

fn reject_malformed(path: &str, error: &postcard::Error) -> Response<ResponseBody> {
    log::warn!(path = path, error:% = error; "malformed message from another VM");
    empty_response(StatusCode::BAD_REQUEST)
}

/// Adds the tokens of an unrequested transfer to this VM's holding.
fn receive_transfer(
    context: &GatewayContext,
    message: &UnrequestedTransfer,
) -> Response<ResponseBody> {
    let mut tokens = context.lock_tokens();
    if context.serving_ended.is_cancelled() {
        log::warn!(
            from = message.transfer_id.0;
            "transfer of tokens rejected: this VM stops and returns its tokens"
        );
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    if *tokens.holding.holder_id() != message.holder_id {
        log::warn!(
            from = message.transfer_id.0;
            "transfer to another incarnation of this VM rejected"
        );
        return empty_response(StatusCode::CONFLICT);
    }
    let now = context.now();
    let is_taken_in = tokens.holding.receive_transfer(&message.transfer_id, &message.sent, now);
    drop(tokens);
    if !is_taken_in {
        log::warn!(from = message.transfer_id.0; "too many transfers of tokens; one rejected");
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    log::info!(
        from = message.transfer_id.0, given:? = message.sent;
        "tokens of a VM that stops taken in"
    );
    context.serve_waiting_requests();
    empty_response(StatusCode::OK)
}

async fn handle_transfer_request(
    context: &Arc<GatewayContext>,
    request: &TokenTransferRequest,
) -> Response<ResponseBody> {
    draw_for_request(context, request).await;
    encode_response(&send_tokens(context, request))
}

/// Encodes the response to a message.
pub fn encode_response<R: Serialize>(response: &R) -> Response<ResponseBody> {
    match postcard::to_stdvec(response) {
        Ok(bytes) => full_response(StatusCode::OK, HeaderMap::new(), bytes.into()),
        Err(error) => {
            log::error!(error:% = error; "failed to encode the response to another VM");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Draws tokens for the transfer request of another VM, which may be disconnected from the log. The
/// transfer request waits in the same queue as the requests of callers.
async fn draw_for_request(context: &Arc<GatewayContext>, request: &TokenTransferRequest) {
    let (account_id, needed_tokens) = (&request.account_id, request.needed_tokens);
    let now = context.now();
    let spendable_tokens = context.lock_tokens().holding.spendable_tokens(account_id, now);
    if spendable_tokens >= needed_tokens as i64 || !context.may_gain_tokens_by_append(account_id) {
        return;
    }
    let entry = QueueEntry::join(context, account_id, needed_tokens);
    context.request_ledger_record(account_id);
    if entry.wait(now + DRAW_TIMEOUT).await {
        // The reservation is released because `send_tokens` deducts the tokens itself.
        context.lock_tokens().holding.release(account_id, needed_tokens);
    }
}

fn send_tokens(context: &GatewayContext, request: &TokenTransferRequest) -> TokenTransferResponse {
    let mut tokens = context.lock_tokens();
    let account_id = &request.account_id;
    let is_addressee = *tokens.holding.holder_id() == request.holder_id;
    let sent_tokens = if is_addressee {
        tokens.holding.send_tokens(
            request.transfer_id.clone(),
            account_id,
            request.needed_tokens,
            request.desired_tokens,
            context.now(),
        )
    } else {
        0
    };
    let remaining_tokens = tokens.holding.spendable_tokens(account_id, context.now());
    let spent_tokens = tokens.holding.spent_tokens(account_id);
    drop(tokens);
    log::info!(
        account = account_id, to = request.transfer_id.0, needed = request.needed_tokens,
        given = sent_tokens, left = remaining_tokens;
        "tokens given to another VM"
    );
    TokenTransferResponse { sent_tokens, remaining_tokens, spent_tokens }
}
