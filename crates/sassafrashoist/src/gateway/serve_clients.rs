//! Accepts connections from callers.

use std::sync::Arc;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Response};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::gateway_context::GatewayContext;
use super::listen::{ConnectionPolicy, accept, serve_connection};
use super::response_body::ResponseBody;
use super::serve_request::serve_request;

/// The maximum length of a request head before a configuration has been read.
const DEFAULT_MAX_HEAD_BYTES: usize = 16_384;
/// How long a connection may be idle before a configuration has been read.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The smallest buffer size that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8_192;

/// Serves callers until `closing` is cancelled, which also closes each connection after the request
/// in progress.
pub async fn serve_clients(
    context: Arc<GatewayContext>,
    listener: TcpListener,
    closing: CancellationToken,
) {
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = closing.cancelled() => return,
        };
        let policy = connection_policy(&context, &closing);
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let handle = |request| {
                let context = Arc::clone(&context);
                async move {
                    let mut response = serve_request(&context, request).await;
                    close_when_draining(&context, &mut response);
                    response
                }
            };
            serve_connection(stream, policy, handle).await;
        });
    }
}

fn connection_policy(context: &GatewayContext, closing: &CancellationToken) -> ConnectionPolicy {
    let limits = context.routes().map(|routes| routes.config().limits);
    let head_bytes = limits.map_or(DEFAULT_MAX_HEAD_BYTES, |limits| limits.max_header_bytes);
    ConnectionPolicy {
        head_timeout: limits
            .map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout.max(limits.header_timeout)),
        max_head_bytes: head_bytes.max(MIN_HEAD_BYTES),
        connections: Arc::clone(&context.caller_connections),
        closing: closing.clone(),
    }
}

fn close_when_draining(context: &GatewayContext, response: &mut Response<ResponseBody>) {
    if context.draining.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
