//! Starts and stops the gateway.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use eyre::WrapErr;
use sassafrashoist_adapter::vm_settings_file::parse_vm_settings;
use sassafrashoist_core::gateway::vm_settings::VmSettings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

use super::follow_config::follow_config;
use super::follow_servers::follow_servers;
use super::gateway_context::GatewayContext;
use super::listen::bind;
use super::maintain_holding::maintain_holding;
use super::serve_clients::serve_clients;
use super::serve_metrics::serve_metrics;
use super::serve_peers::serve_peers;
use super::serve_readiness::serve_readiness;
use super::transfer_tokens::transfer_all_tokens;
use crate::util::metrics_page::{fold_metrics, init_metrics};

/// How long connections are kept after SIGTERM: the balancer needs two misses, a second apart.
const LINGER: Duration = Duration::from_millis(2_600);
/// What is kept of the shutdown grace to hand back tokens and to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(1_300);
/// How long handing tokens over to other VMs may take, out of `EXIT_MARGIN`.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long handing back tokens may take, out of `EXIT_MARGIN`.
const HAND_BACK_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the settings file of a VM.
///
/// # Errors
///
/// Fails when the file cannot be read, or with everything that is wrong with it.
pub fn read_vm_settings(path: &Path) -> eyre::Result<VmSettings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("failed to read settings file {}", path.display()))?;
    parse_vm_settings(&text).wrap_err_with(|| format!("invalid settings file {}", path.display()))
}

/// Runs the gateway until SIGTERM or SIGINT, then drains it.
///
/// # Errors
///
/// Fails when it cannot start.
pub async fn run_gateway(path: PathBuf, metrics_port: u16) -> eyre::Result<()> {
    let settings = read_vm_settings(&path)?;
    init_metrics();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hang_up = signal(SignalKind::hangup())?;
    let peers = bind(SocketAddr::new(settings.ip, settings.peer_port)).await?;
    let readiness = bind(settings.readiness_address).await?;
    let callers = bind(settings.caller_address).await?;
    let metrics = bind(SocketAddr::new(settings.ip, metrics_port)).await?;
    let context = GatewayContext::new(settings, CancellationToken::new());
    log::info!(
        vm = context.settings().vm_id,
        run = context.lock_tokens().holding.holder_id();
        "gateway started"
    );

    let (closing, finished) = (CancellationToken::new(), CancellationToken::new());
    tokio::spawn(follow_config(Arc::clone(&context)));
    tokio::spawn(follow_servers(Arc::clone(&context)));
    tokio::spawn(serve_peers(Arc::clone(&context), peers));
    tokio::spawn(serve_readiness(Arc::clone(&context), readiness));
    tokio::spawn(serve_metrics(Arc::clone(&context), metrics));
    tokio::spawn(follow_settings(Arc::clone(&context), path, hang_up));
    tokio::spawn(serve_clients(Arc::clone(&context), callers, closing.clone()));
    let keeper = tokio::spawn(maintain_holding(Arc::clone(&context), finished.clone()));

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain(&context, &closing).await;
    if !context.is_ledger_fresh()
        && tokio::time::timeout(HAND_OVER_TIMEOUT, transfer_all_tokens(&context)).await.is_err()
    {
        log::warn!("tokens not handed over: other VMs did not answer in time");
    }
    finished.cancel();
    if tokio::time::timeout(HAND_BACK_TIMEOUT, keeper).await.is_err() {
        log::warn!("tokens not handed back: the log service did not answer in time");
    }
    log::info!("gateway stopped");
    log::logger().flush();
    Ok(())
}

/// Serves on until the balancer sends no more, then until the requests in progress end.
async fn drain(context: &GatewayContext, closing: &CancellationToken) {
    let grace = context.settings().bounds.shutdown_grace;
    let stop_at = tokio::time::Instant::now() + grace.saturating_sub(EXIT_MARGIN);
    context.draining.cancel();
    log::info!(requests = context.requests.len(), grace_ms = grace.as_millis() as u64; "stopping");
    tokio::time::sleep(LINGER.min(grace / 2)).await;
    closing.cancel();
    context.requests.close();
    if tokio::time::timeout_at(stop_at, context.requests.wait()).await.is_err() {
        log::warn!(requests = context.requests.len(); "requests cut off at the end of the grace");
    }
}

async fn follow_settings(context: Arc<GatewayContext>, path: PathBuf, mut hang_up: Signal) {
    let mut changed_at = modified_at(&path);
    loop {
        fold_metrics();
        tokio::select! {
            _ = hang_up.recv() => {}
            () = tokio::time::sleep(SETTINGS_LOOK_INTERVAL) => {
                let newest = modified_at(&path);
                if newest == changed_at {
                    continue;
                }
                changed_at = newest;
            }
        }
        match read_vm_settings(&path) {
            Ok(settings) if settings == *context.settings() => {
                log::info!("settings reloaded without a change");
            }
            Ok(settings) => {
                log::info!("settings reloaded; addresses to listen on hold from the next start");
                context.replace_settings(settings);
            }
            Err(error) => {
                log::error!(error:% = format!("{error:#}"); "settings not reloaded; the last ones hold");
            }
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
