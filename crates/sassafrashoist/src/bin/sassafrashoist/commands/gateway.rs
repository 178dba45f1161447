//! `sassafrashoist gateway`.

use std::path::PathBuf;

use clap::Args;
use eyre::WrapErr;
use sassafrashoist::core::settings::LogSettings;
use sassafrashoist::gateway::run_gateway::run_gateway;
use sassafrashoist::gateway::serve_metrics::METRICS_PORT;
use sassafrashoist::util::logging::init_logging;
use sassafrashoist_adapter::SETTINGS_PATH_VARIABLE;

/// Runs the router on the platform until SIGTERM or SIGINT, then drains it.
#[derive(Debug, Args)]
pub struct Gateway {
    /// The settings file that the platform provides for this VM.
    #[arg(long, value_name = "FILE", env = SETTINGS_PATH_VARIABLE)]
    settings: PathBuf,
    /// The port on which the VM serves its metrics.
    #[arg(long, value_name = "PORT", default_value_t = METRICS_PORT)]
    metrics_port: u16,
}

impl Gateway {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        init_logging(&LogSettings::default());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("failed to start the runtime")?;
        runtime.block_on(run_gateway(self.settings, self.metrics_port))
    }
}
