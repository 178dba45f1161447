//! Serves the metrics of the process to operators.

use std::sync::Arc;

use http::{HeaderMap, StatusCode};
use tokio::net::TcpListener;

use super::gateway_context::GatewayContext;
use super::listen::serve_listener;
use super::response_body::full_response;
use crate::util::metrics_page::render_metrics;

/// The port of the metrics page, as set in `deploy/system.toml`.
pub const METRICS_PORT: u16 = 9_464;

/// Serves the metrics until cancelled.
pub async fn serve_metrics(context: Arc<GatewayContext>, listener: TcpListener) {
    serve_listener(listener, context.cancel.clone(), |_| {
        std::future::ready(full_response(StatusCode::OK, HeaderMap::new(), render_metrics().into()))
    })
    .await;
}
