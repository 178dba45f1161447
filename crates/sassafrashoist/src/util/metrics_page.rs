//! The metrics of the process in Prometheus format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Starts collecting metrics; a second call changes nothing.
pub fn init_metrics() {
    HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Returns the metrics as text.
pub fn render_metrics() -> String {
    HANDLE.get().and_then(Option::as_ref).map(PrometheusHandle::render).unwrap_or_default()
}

/// Folds recorded samples into the histograms; without it they are kept one by one.
pub fn fold_metrics() {
    if let Some(Some(handle)) = HANDLE.get() {
        handle.run_upkeep();
    }
}
