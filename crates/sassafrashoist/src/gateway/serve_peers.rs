//! Answers the other VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::net::TcpListener;

use super::answer_body::{AnswerBody, answer};
use super::gateway_context::GatewayContext;
use super::listen::{ConnectionPolicy, accept, serve_connection};
use super::peer_messages::{TRANSFER_PATH, TransferAnswer, TransferQuestion};

/// The longest question of another VM.
const MAX_QUESTION_BYTES: usize = 4_096;
/// The longest head of a question.
const MAX_HEAD_BYTES: usize = 8_192;
/// How long the head of a question may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers the other VMs until cancelled.
pub async fn serve_peers(context: Arc<GatewayContext>, listener: TcpListener) {
    let policy = ConnectionPolicy {
        head_timeout: HEAD_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
        closing: context.cancel.clone(),
    };
    loop {
        let stream = accept(&listener).await;
        let (context, policy) = (Arc::clone(&context), policy.clone());
        tokio::spawn(async move {
            serve_connection(stream, policy, |request| answer_peer(&context, request)).await;
        });
    }
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
    let reply = give_tokens(context, &question);
    match postcard::to_stdvec(&reply) {
        Ok(bytes) => answer(StatusCode::OK, HeaderMap::new(), bytes.into()),
        Err(error) => {
            log::error!(error:% = error; "answer to another VM cannot be encoded");
            answer(StatusCode::INTERNAL_SERVER_ERROR, HeaderMap::new(), Bytes::new())
        }
    }
}

fn give_tokens(context: &GatewayContext, question: &TransferQuestion) -> TransferAnswer {
    let mut tokens = context.lock_tokens();
    let account_id = &question.account_id;
    let is_asked = *tokens.holding.holder_id() == question.holder_id;
    let given_tokens = if is_asked && !context.draining.is_cancelled() {
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
