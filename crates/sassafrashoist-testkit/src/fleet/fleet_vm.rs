//! One router of a fleet, on its own Tokio runtime, so that it can be killed independently.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Result, WrapErr, eyre};
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;

use sassafrashoist::core::router_context::RouterContext;
use sassafrashoist::core::settings::Settings;
use sassafrashoist::ops::drain_router::drain_router;
use sassafrashoist::ops::run_router::{RunningRouter, start_router};

/// Worker threads of each router's runtime.
const WORKER_THREADS: usize = 2;

/// One router of a fleet.
pub struct FleetVm {
    /// The settings of the router.
    pub settings: Settings,
    runtime: Option<Runtime>,
    router: Option<RunningRouter>,
}

impl FleetVm {
    /// Creates a router that is not running yet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, runtime: None, router: None }
    }

    /// Starts the router with no in-memory state.
    ///
    /// # Errors
    ///
    /// Fails when the runtime or the router cannot start.
    pub async fn start(&mut self) -> Result<()> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()
            .wrap_err("failed to start the runtime of a router")?;
        let starting = start_router(self.settings.clone(), CancellationToken::new());
        let router = runtime.spawn(starting).await??;
        self.runtime = Some(runtime);
        self.router = Some(router);
        Ok(())
    }

    /// Stops the router at once, without a graceful shutdown.
    pub fn kill(&mut self) {
        self.router = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Shuts down the router gracefully.
    ///
    /// # Errors
    ///
    /// Fails when the router is not running.
    pub async fn drain(&mut self) -> Result<()> {
        let context = self.context()?;
        let runtime = self.runtime.as_ref().ok_or_else(|| eyre!("router is not running"))?;
        runtime.spawn(async move { drain_router(&context).await }).await?;
        self.kill();
        Ok(())
    }

    /// Returns whether the router is running.
    pub fn is_running(&self) -> bool {
        self.router.is_some()
    }

    /// Returns the router's context.
    ///
    /// # Errors
    ///
    /// Fails when the router is not running.
    pub fn context(&self) -> Result<Arc<RouterContext>> {
        let router = self.running_router()?;
        Ok(Arc::clone(&router.context))
    }

    /// Returns the address for callers.
    ///
    /// # Errors
    ///
    /// Fails when the router is not running.
    pub fn caller_address(&self) -> Result<SocketAddr> {
        Ok(self.running_router()?.caller_address)
    }

    /// Returns the address for operators.
    ///
    /// # Errors
    ///
    /// Fails when the router is not running.
    pub fn admin_address(&self) -> Result<SocketAddr> {
        Ok(self.running_router()?.admin_address)
    }

    /// Returns the address for other VMs.
    ///
    /// # Errors
    ///
    /// Fails when the router is not running.
    pub fn peer_address(&self) -> Result<SocketAddr> {
        Ok(self.running_router()?.peer_address)
    }

    fn running_router(&self) -> Result<&RunningRouter> {
        self.router.as_ref().ok_or_else(|| eyre!("router {} is not running", self.settings.vm_id))
    }
}

impl Drop for FleetVm {
    fn drop(&mut self) {
        self.kill();
    }
}
