//! One router of a fleet, on workers of its own, so that it can be killed alone.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Result, WrapErr, eyre};
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;

use sassafrashoist::core::router_context::RouterContext;
use sassafrashoist::core::settings::Settings;
use sassafrashoist::ops::drain_router::drain_router;
use sassafrashoist::ops::run_router::{RunningRouter, start_router};

/// Threads of each router.
const WORKER_THREADS: usize = 2;

/// One router of a fleet.
pub struct FleetVm {
    /// Its settings.
    pub settings: Settings,
    runtime: Option<Runtime>,
    router: Option<RunningRouter>,
}

impl FleetVm {
    /// Plans a router that does not run yet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, runtime: None, router: None }
    }

    /// Starts the router with empty memory.
    ///
    /// # Errors
    ///
    /// Fails when its workers or its ports cannot be had.
    pub async fn start(&mut self) -> Result<()> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()
            .wrap_err("failed to start the workers of a router")?;
        let starting = start_router(self.settings.clone(), CancellationToken::new());
        let router = runtime.spawn(starting).await??;
        self.runtime = Some(runtime);
        self.router = Some(router);
        Ok(())
    }

    /// Ends the router without warning.
    pub fn kill(&mut self) {
        self.router = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Shuts the router down gracefully.
    ///
    /// # Errors
    ///
    /// Fails when the router does not run.
    pub async fn drain(&mut self) -> Result<()> {
        let context = self.context()?;
        let runtime = self.runtime.as_ref().ok_or_else(|| eyre!("router does not run"))?;
        runtime.spawn(async move { drain_router(&context).await }).await?;
        self.kill();
        Ok(())
    }

    /// Returns whether the router runs.
    pub fn is_running(&self) -> bool {
        self.router.is_some()
    }

    /// Returns the router's context.
    ///
    /// # Errors
    ///
    /// Fails when the router does not run.
    pub fn context(&self) -> Result<Arc<RouterContext>> {
        let router = self.running()?;
        Ok(Arc::clone(&router.context))
    }

    /// Returns where callers connect.
    ///
    /// # Errors
    ///
    /// Fails when the router does not run.
    pub fn caller_address(&self) -> Result<SocketAddr> {
        Ok(self.running()?.caller_address)
    }

    /// Returns where operators connect.
    ///
    /// # Errors
    ///
    /// Fails when the router does not run.
    pub fn admin_address(&self) -> Result<SocketAddr> {
        Ok(self.running()?.admin_address)
    }

    /// Returns where other VMs connect.
    ///
    /// # Errors
    ///
    /// Fails when the router does not run.
    pub fn peer_address(&self) -> Result<SocketAddr> {
        Ok(self.running()?.peer_address)
    }

    fn running(&self) -> Result<&RunningRouter> {
        self.router.as_ref().ok_or_else(|| eyre!("router {} does not run", self.settings.vm_id))
    }
}

impl Drop for FleetVm {
    fn drop(&mut self) {
        self.kill();
    }
}
