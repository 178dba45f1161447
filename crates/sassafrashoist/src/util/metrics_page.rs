//! The metrics of the process in Prometheus format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Starts collecting metrics. Has no effect if metrics are already being collected.
pub fn init_metrics() {
    HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Returns the metrics in Prometheus text format; empty if none are being collected.
pub fn render_metrics() -> String {
    HANDLE.get().and_then(Option::as_ref).map(PrometheusHandle::render).unwrap_or_default()
}

/// Aggregates recorded samples into the histograms. Must be called regularly, because samples that
/// are not aggregated yet are stored one by one.
pub fn run_metrics_upkeep() {
    if let Some(Some(handle)) = HANDLE.get() {
        handle.run_upkeep();
    }
}
