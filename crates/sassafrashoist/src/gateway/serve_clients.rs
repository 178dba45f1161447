//! Accepts connections from callers.

use std::sync::Arc;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};

use super::closing_signals::ClosingSignals;
use super::gateway_context::GatewayContext;
use super::listen::{
    ConnectionPolicy, WRITE_TIMEOUT, accept, bind, close_listener, serve_connection,
};
use super::response_body::ResponseBody;
use super::serve_request::serve_request;
use super::turn_away::turn_away;

/// The maximum length of a request head before a configuration has been read.
const DEFAULT_MAX_HEAD_BYTES: usize = 16_384;
/// Delay after the address of callers could not be bound.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The smallest buffer size that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8_192;

/// Serves callers until the signal to close, also those whose connections are in the backlog of the
/// listener then.
pub async fn serve_clients(
    context: Arc<GatewayContext>,
    listener: TcpListener,
    closing: ClosingSignals,
) {
    let mut listener = listener;
    loop {
        tokio::select! {
            stream = accept(&listener) => admit_caller(&context, stream, &closing),
            () = closing.closing.cancelled() => break,
        }
        let Some(pause) = context.accept_pause() else {
            continue;
        };
        for stream in close_listener(listener) {
            admit_caller(&context, stream, &closing);
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = closing.closing.cancelled() => return,
        }
        listener = bind_again(&context).await;
    }
    for stream in close_listener(listener) {
        admit_caller(&context, stream, &closing);
    }
}

/// Listens again after a time in which the kernel refused connections for this process.
async fn bind_again(context: &GatewayContext) -> TcpListener {
    loop {
        match bind(context.settings().caller_address).await {
            Ok(listener) => return listener,
            Err(error) => {
                log::warn!(error:% = format!("{error:#}"); "callers cannot connect");
                tokio::time::sleep(BIND_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection if there is room for it, and turns its caller away if not.
fn admit_caller(context: &Arc<GatewayContext>, stream: TcpStream, closing: &ClosingSignals) {
    let connections = &context.caller_connections;
    let (limit, connection_count) = (context.open_connection_limit(), connections.counts().total());
    let has_room = limit.allows_another(connection_count)
        || (limit.allows_replacement(connection_count) && connections.close_longest_idle());
    if has_room {
        serve_caller(context, stream, closing);
    } else {
        turn_away(context, stream);
    }
}

fn serve_caller(context: &Arc<GatewayContext>, stream: TcpStream, closing: &ClosingSignals) {
    let policy = connection_policy(context, closing);
    let open = context.caller_connections.add();
    close_idle_beyond_limit(context);
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let handle = |request| {
            let context = Arc::clone(&context);
            // The HTTP library keeps room for this future as long as the connection is open.
            Box::pin(async move {
                let mut response = serve_request(&context, request).await;
                announce_close(&context, &mut response);
                response
            })
        };
        serve_connection(stream, open, policy, handle).await;
    });
}

fn connection_policy(context: &GatewayContext, closing: &ClosingSignals) -> ConnectionPolicy {
    let limits = context.routes().map(|routes| routes.config().limits);
    let head_bytes = limits.map_or(DEFAULT_MAX_HEAD_BYTES, |limits| limits.max_header_bytes);
    ConnectionPolicy {
        timeouts: context.caller_timeouts(),
        write_timeout: WRITE_TIMEOUT,
        max_head_bytes: head_bytes.max(MIN_HEAD_BYTES),
        closing: closing.clone(),
    }
}

/// Closes one connection when another one was added to many.
fn close_idle_beyond_limit(context: &GatewayContext) {
    let connections = &context.caller_connections;
    if context.open_connection_limit().closes_idle(connections.counts().total()) {
        connections.close_longest_idle();
    }
}

/// Ends the connection with this response while this VM stops, its link has no room or callers keep many
/// connections.
fn announce_close(context: &GatewayContext, response: &mut Response<ResponseBody>) {
    let connection_count = context.caller_connections.counts().total();
    let is_crowded = response.status() != StatusCode::SWITCHING_PROTOCOLS
        && context.open_connection_limit().ends_connections(connection_count);
    if context.draining.is_cancelled() || is_crowded || context.is_link_overloaded() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
