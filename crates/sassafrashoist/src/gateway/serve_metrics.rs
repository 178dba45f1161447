//! Serves the counters and histograms of the process to operators.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use tokio::net::TcpListener;

use super::answer_body::answer;
use super::gateway_context::GatewayContext;
use super::listen::{ConnectionPolicy, accept, serve_connection};
use crate::util::metrics_page::render_metrics;

/// The port of the metrics page, as `deploy/system.toml` names it.
pub const METRICS_PORT: u16 = 9_464;
/// The longest head of a question.
const MAX_HEAD_BYTES: usize = 8_192;
/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the metrics until cancelled.
pub async fn serve_metrics(context: Arc<GatewayContext>, listener: TcpListener) {
    let policy = ConnectionPolicy {
        head_timeout: IDLE_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
        closing: context.cancel.clone(),
    };
    loop {
        let stream = accept(&listener).await;
        let policy = policy.clone();
        tokio::spawn(async move {
            serve_connection(stream, policy, |_| {
                std::future::ready(answer(
                    StatusCode::OK,
                    HeaderMap::new(),
                    render_metrics().into(),
                ))
            })
            .await;
        });
    }
}
