//! Accepts connections from callers.

use std::sync::Arc;

use http::header::CONNECTION;
use http::{HeaderValue, Response};
use tokio::net::{TcpListener, TcpStream};

use super::closing_signals::ClosingSignals;
use super::gateway_context::GatewayContext;
use super::listen::{ConnectionPolicy, WRITE_TIMEOUT, accept, close_listener, serve_connection};
use super::response_body::ResponseBody;
use super::serve_request::serve_request;

/// Serves callers until the signal to close, also those whose connections are in the backlog of the
/// listener then.
pub async fn serve_clients(
    context: Arc<GatewayContext>,
    listener: TcpListener,
    closing: ClosingSignals,
) {
    loop {
        tokio::select! {
            stream = accept(&listener) => serve_caller(&context, stream, &closing),
            () = closing.closing.cancelled() => break,
        }
    }
    for stream in close_listener(listener) {
        serve_caller(&context, stream, &closing);
    }
}

fn serve_caller(context: &Arc<GatewayContext>, stream: TcpStream, closing: &ClosingSignals) {
    let policy = connection_policy(context, closing);
    let open = context.caller_connections.add();
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let handle = |request| {
            let context = Arc::clone(&context);
            async move {
                let mut response = serve_request(&context, request).await;
                close_when_draining(&context, &mut response);
                response
            }
        };
        serve_connection(stream, open, policy, handle).await;
    });
}

fn connection_policy(context: &GatewayContext, closing: &ClosingSignals) -> ConnectionPolicy {
    ConnectionPolicy {
        limits: context.connection_limits(),
        write_timeout: WRITE_TIMEOUT,
        closing: closing.clone(),
    }
}

fn close_when_draining(context: &GatewayContext, response: &mut Response<ResponseBody>) {
    if context.draining.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
