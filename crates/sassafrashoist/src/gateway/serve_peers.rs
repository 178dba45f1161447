//! Answers the other VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::net::TcpListener;

use super::answer_body::{AnswerBody, answer};
use super::draw_tokens::draw_until;
use super::gateway_context::GatewayContext;
use super::listen::serve_listener;
use super::obtain_tokens::is_ledger_fresh;
use super::peer_messages::{TRANSFER_PATH, TransferAnswer, TransferQuestion};

/// The longest question of another VM.
const MAX_QUESTION_BYTES: usize = 4_096;
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

async fn answer_peer(context: &GatewayContext, request: Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != TRANSFER_PATH {
        return answer(StatusCode::NOT_FOUND, HeaderMap::new(), Bytes::new());
    }
    let body = Limited::new(request.into_body(), MAX_QUESTION_BYTES).collect().await;
    let question: Option<TransferQuestion> =
        body.ok().and_then(|body| postcard::from_bytes(&body.to_bytes()).ok());
    let Some(question) = question else {
        log::warn!("malformed question of another VM");
        return answer(StatusCode::BAD_REQUEST, HeaderMap::new(), Bytes::new());
    };
    draw_for(context, &question).await;
    let reply = give_tokens(context, &question);
    match postcard::to_stdvec(&reply) {
        Ok(bytes) => answer(StatusCode::OK, HeaderMap::new(), bytes.into()),
        Err(error) => {
            log::error!(error:% = error; "answer to another VM cannot be encoded");
            answer(StatusCode::INTERNAL_SERVER_ERROR, HeaderMap::new(), Bytes::new())
        }
    }
}

/// Draws tokens for another VM, which may be cut off from the log.
async fn draw_for(context: &GatewayContext, question: &TransferQuestion) {
    let (account_id, needed_tokens) = (&question.account_id, question.needed_tokens);
    let has_enough = || {
        let now = context.now();
        context.lock_tokens().holding.available_tokens(account_id, now) >= needed_tokens as i64
    };
    if has_enough() || !is_ledger_fresh(context) {
        return;
    }
    let give_up_at = context.now() + DRAW_WAIT;
    draw_until(context, account_id, needed_tokens, give_up_at, has_enough).await;
}

fn give_tokens(context: &GatewayContext, question: &TransferQuestion) -> TransferAnswer {
    let mut tokens = context.lock_tokens();
    let account_id = &question.account_id;
    let is_asked = *tokens.holding.holder_id() == question.holder_id;
    let given_tokens = if is_asked {
        tokens.holding.give(
            question.transfer_id.clone(),
            account_id,
            question.needed_tokens,
            question.liked_tokens,
            context.now(),
        )
    } else {
        0
    };
    let left_tokens = tokens.holding.available_tokens(account_id, context.now());
    drop(tokens);
    log::info!(
        account = account_id, to = question.transfer_id.0, needed = question.needed_tokens,
        given = given_tokens, left = left_tokens;
        "tokens given to another VM"
    );
    TransferAnswer { given_tokens, left_tokens }
}
