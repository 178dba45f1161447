//! A router in a separate process, so that its memory and CPU time can be measured.
//!
//! An experiment starts its own executable again with `--child-router FILE`.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail};
use sassafrashoist::core::settings::{ListenAddresses, LogLevel, Settings};
use sassafrashoist::ops::check_settings::check_settings;
use sassafrashoist::ops::run_router::start_router;
use sassafrashoist::util::logging::init_logging;
use tokio_util::sync::CancellationToken;

use crate::client::caller::Caller;
use crate::fleet::operators::operators;
use crate::http_util::find_free_address;
use crate::process_stats::{ProcessStats, read_process_stats};

/// The timeout for a child to become ready, or for its state dump to reach a value.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between readiness checks of a child.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs a router until its context is cancelled or the process is killed.
///
/// # Errors
///
/// Fails when the settings are invalid or the router cannot start.
pub async fn run_child(settings_path: &Path) -> Result<()> {
    let settings = check_settings(settings_path)?;
    init_logging(&settings.log);
    let router = start_router(settings, CancellationToken::new()).await?;
    router.context.cancel.cancelled().await;
    Ok(())
}

/// A router in a separate process, killed when dropped.
pub struct ChildRouter {
    /// The settings of the router.
    pub settings: Settings,
    child: Child,
    settings_path: PathBuf,
}

impl ChildRouter {
    /// Builds settings with free loopback ports.
    pub fn plan(vm_id: &str, data_centre_id: &str, platform_address: SocketAddr) -> Settings {
        let addresses = ListenAddresses {
            callers: find_free_address(),
            admin: find_free_address(),
            peers: find_free_address(),
        };
        let mut settings = Settings::new(
            vm_id.to_owned(),
            data_centre_id.to_owned(),
            addresses,
            platform_address,
            operators(),
        );
        settings.log.level = LogLevel::Error;
        settings
    }

    /// Starts a router process.
    ///
    /// # Errors
    ///
    /// Fails when the settings file cannot be written or the process cannot be started.
    pub fn start(settings: Settings) -> Result<Self> {
        let name = format!("child-router-{}-{}.json", std::process::id(), settings.vm_id);
        let settings_path = std::env::temp_dir().join(name);
        fs::write(&settings_path, serde_json::to_vec(&settings)?)
            .wrap_err("failed to write the settings of a child router")?;
        let child = Command::new(std::env::current_exe()?)
            .arg("--child-router")
            .arg(&settings_path)
            .spawn()
            .wrap_err("failed to start a child router")?;
        Ok(Self { settings, child, settings_path })
    }

    /// Waits until the router is ready, and returns how long that took.
    ///
    /// # Errors
    ///
    /// Fails after a timeout.
    pub async fn wait_ready(&self) -> Result<Duration> {
        let started = Instant::now();
        let admin = Caller::new(self.settings.admin_address, "none");
        while started.elapsed() < READY_TIMEOUT {
            if admin.get("/ready").await.is_ok_and(|response| response.status == 200) {
                return Ok(started.elapsed());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        bail!("child router was not ready within {READY_TIMEOUT:?}")
    }

    /// Waits until the number at a JSON pointer of the state dump is at least `min_value`.
    ///
    /// # Errors
    ///
    /// Fails after a timeout.
    pub async fn wait_for_state_value(&self, pointer: &str, min_value: u64) -> Result<()> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            // A router that has just started may not listen yet.
            if let Ok(state) = self.read_state().await
                && state.pointer(pointer).and_then(serde_json::Value::as_u64) >= Some(min_value)
            {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL * 10).await;
        }
        bail!("{pointer} did not reach {min_value} within {READY_TIMEOUT:?}")
    }

    /// Reads the router's state dump.
    ///
    /// # Errors
    ///
    /// Fails when the router does not respond or the response is not JSON.
    pub async fn read_state(&self) -> Result<serde_json::Value> {
        let admin = Caller::new(self.settings.admin_address, "none");
        Ok(serde_json::from_slice(&admin.get("/state").await?.body)?)
    }

    /// Reads the memory and CPU time of the process.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn stats(&self) -> Result<ProcessStats> {
        read_process_stats(self.child.id())
    }
}

impl Drop for ChildRouter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_path);
    }
}
