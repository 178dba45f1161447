//! Serves the readiness check of the load balancer.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use sassafrashoist_adapter::READINESS_PATH;
use tokio::net::TcpListener;

use super::gateway_context::GatewayContext;
use super::listen::serve_listener;
use super::response_body::full_response;

/// Serves readiness checks until cancelled.
pub async fn serve_readiness(context: Arc<GatewayContext>, listener: TcpListener) {
    let closing = context.cancel.clone();
    let connections = Arc::clone(&context.internal_connections);
    serve_listener(listener, connections, closing, move |request| {
        let status = if request.uri().path() != READINESS_PATH {
            StatusCode::NOT_FOUND
        } else if context.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(full_response(status, HeaderMap::new(), Bytes::new()))
    })
    .await;
}
