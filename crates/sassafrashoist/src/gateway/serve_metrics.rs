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
    let cancel = context.cancel.clone();
    let connections = Arc::clone(&context.internal_connections);
    serve_listener(listener, connections, cancel, move |_| {
        publish_config_age(&context);
        std::future::ready(full_response(StatusCode::OK, HeaderMap::new(), render_metrics().into()))
    })
    .await;
}

/// Publishes how long ago this VM's configuration was the newest; infinite if that was never known.
fn publish_config_age(context: &GatewayContext) {
    let time = context.lock_config_age().unconfirmed_time(context.now());
    let age_s = time.map_or(f64::INFINITY, |time| time.as_secs_f64());
    metrics::gauge!("sassafrashoist_config_age_seconds").set(age_s);
}
