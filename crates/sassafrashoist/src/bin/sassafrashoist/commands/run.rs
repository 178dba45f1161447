//! `sassafrashoist run`.

use std::path::PathBuf;

use clap::Args;
use eyre::WrapErr;
use sassafrashoist::ops::check_settings::check_settings;
use sassafrashoist::ops::drain_router::drain_router;
use sassafrashoist::ops::run_router::start_router;
use sassafrashoist::util::logging::init_logging;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Runs the router until SIGTERM or SIGINT, then drains it.
#[derive(Debug, Args)]
pub struct Run {
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Run {
    /// Runs the command.
    pub fn exec(self) -> eyre::Result<()> {
        let settings = check_settings(&self.settings)?;
        init_logging(&settings.log);
        let runtime = tokio::runtime::Runtime::new().wrap_err("failed to start the runtime")?;
        runtime.block_on(async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            let router = start_router(settings, CancellationToken::new()).await?;
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            drain_router(&router.context).await;
            Ok(())
        })
    }
}
