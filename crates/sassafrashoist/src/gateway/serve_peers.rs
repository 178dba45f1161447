//! Answers the other VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::net::TcpListener;

use super::gateway_context::GatewayContext;
use super::listen::serve_listener;
use super::peer_messages::{
    HAND_OVER_PATH, HandOver, TRANSFER_PATH, TransferAnswer, TransferQuestion,
};
use super::queue_place::QueuePlace;
use super::response_body::{ResponseBody, full_response};

/// The longest message of another VM: tokens of a few thousand accounts.
const MAX_MESSAGE_BYTES: usize = 65_536;
/// How long a draw for another VM may take; the other one waits little longer.
const DRAW_WAIT: Duration = Duration::from_millis(90);

/// Answers the other VMs until cancelled.
pub async fn serve_peers(context: Arc<GatewayContext>, listener: TcpListener) {
    let closing = context.cancel.clone();
    serve_listener(listener, closing, move |request| {
        let context = Arc::clone(&context);
        async move { answer_peer(&context, request).await }
    })
    .await;
}

async fn answer_peer(
    context: &Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let body = match Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            log::warn!(path = path, error:% = error; "message of another VM not read");
            return empty(StatusCode::BAD_REQUEST);
        }
    };
    match path.as_str() {
        TRANSFER_PATH => match postcard::from_bytes(&body) {
            Ok(question) => answer_question(context, &question).await,
            Err(error) => refuse_malformed(&path, &error),
        },
        HAND_OVER_PATH => match postcard::from_bytes(&body) {
            Ok(message) => take_in(context, &message),
            Err(error) => refuse_malformed(&path, &error),
        },
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn empty(status: StatusCode) -> Response<ResponseBody> {
    full_response(status, HeaderMap::new(), Bytes::new())
}

fn refuse_malformed(path: &str, error: &postcard::Error) -> Response<ResponseBody> {
    log::warn!(path = path, error:% = error; "malformed message of another VM");
    empty(StatusCode::BAD_REQUEST)
}

/// Takes in tokens that another VM hands over.
fn take_in(context: &GatewayContext, message: &HandOver) -> Response<ResponseBody> {
    let mut tokens = context.lock_tokens();
    if *tokens.holding.holder_id() != message.holder_id {
        log::warn!(from = message.transfer_id.0; "tokens meant for another run not taken in");
        return empty(StatusCode::CONFLICT);
    }
    tokens.holding.receive_transfer(&message.transfer_id, &message.given);
    drop(tokens);
    log::info!(
        from = message.transfer_id.0, given:? = message.given;
        "tokens of a VM that stops taken in"
    );
    context.serve_waiting_requests();
    empty(StatusCode::OK)
}

async fn answer_question(
    context: &Arc<GatewayContext>,
    question: &TransferQuestion,
) -> Response<ResponseBody> {
    draw_for(context, question).await;
    let reply = give_tokens(context, question);
    match postcard::to_stdvec(&reply) {
        Ok(bytes) => full_response(StatusCode::OK, HeaderMap::new(), bytes.into()),
        Err(error) => {
            log::error!(error:% = error; "answer to another VM cannot be encoded");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Draws tokens for another VM, which may be cut off from the log. Its question waits among the
/// requests of this VM.
async fn draw_for(context: &Arc<GatewayContext>, question: &TransferQuestion) {
    let (account_id, needed_tokens) = (&question.account_id, question.needed_tokens);
    let now = context.now();
    let held = context.lock_tokens().holding.spendable_tokens(account_id, now);
    if held >= needed_tokens as i64 || !context.gains_by_record(account_id) {
        return;
    }
    let place = QueuePlace::join(context, account_id, needed_tokens);
    context.request_ledger_record(account_id);
    if place.wait(now + DRAW_WAIT).await {
        // Reserved for the question, which takes them as a gift.
        context.lock_tokens().holding.release(account_id, needed_tokens);
    }
}

fn give_tokens(context: &GatewayContext, question: &TransferQuestion) -> TransferAnswer {
    let mut tokens = context.lock_tokens();
    let account_id = &question.account_id;
    let is_asked = *tokens.holding.holder_id() == question.holder_id;
    let given_tokens = if is_asked {
        tokens.holding.send_tokens(
            question.transfer_id.clone(),
            account_id,
            question.needed_tokens,
            question.liked_tokens,
            context.now(),
        )
    } else {
        0
    };
    let left_tokens = tokens.holding.spendable_tokens(account_id, context.now());
    let spent_tokens = tokens.holding.spent_tokens(account_id);
    drop(tokens);
    log::info!(
        account = account_id, to = question.transfer_id.0, needed = question.needed_tokens,
        given = given_tokens, left = left_tokens;
        "tokens given to another VM"
    );
    TransferAnswer { given_tokens, left_tokens, spent_tokens }
}
