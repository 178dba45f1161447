//! Tells the balancer whether this VM takes connections.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use sassafrashoist_adapter::READINESS_PATH;
use tokio::net::TcpListener;

use super::answer_body::answer;
use super::gateway_context::GatewayContext;
use super::listen::{ConnectionPolicy, accept, serve_connection};

/// The longest head of a question.
const MAX_HEAD_BYTES: usize = 8_192;
/// How long a connection of the balancer may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers the balancer until cancelled.
pub async fn serve_readiness(context: Arc<GatewayContext>, listener: TcpListener) {
    let policy = ConnectionPolicy {
        head_timeout: IDLE_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
        closing: context.cancel.clone(),
    };
    loop {
        let stream = accept(&listener).await;
        let (context, policy) = (Arc::clone(&context), policy.clone());
        tokio::spawn(async move {
            serve_connection(stream, policy, |request| {
                let status = if request.uri().path() != READINESS_PATH {
                    StatusCode::NOT_FOUND
                } else if context.is_ready() {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                std::future::ready(answer(status, HeaderMap::new(), Bytes::new()))
            })
            .await;
        });
    }
}
