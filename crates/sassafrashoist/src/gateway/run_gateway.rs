//! Starts the gateway, and drains it when the process receives a signal to stop.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use eyre::WrapErr;
use sassafrashoist_adapter::vm_settings_file::parse_vm_settings;
use sassafrashoist_core::gateway::drain_plan::DrainPlan;
use sassafrashoist_core::gateway::vm_settings::VmSettings;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::closing_signals::ClosingSignals;
use super::fetch_config::fetch_configs;
use super::follow_config::follow_config;
use super::follow_servers::follow_servers;
use super::gateway_context::GatewayContext;
use super::listen::bind;
use super::maintain_holding::maintain_holding;
use super::probe_paths::probe_paths;
use super::receive_datagrams::receive_datagrams;
use super::serve_clients::serve_clients;
use super::serve_metrics::serve_metrics;
use super::serve_peers::serve_peers;
use super::serve_readiness::serve_readiness;
use super::share_crashes::{judge_parts, send_digests};
use super::store_stream_origins::store_stream_origins;
use super::transfer_tokens::transfer_all_tokens;
use super::watch_stalls::watch_stalls;
use crate::util::metrics_page::{init_metrics, run_metrics_upkeep};

/// How long calls of other VMs may take to be answered before this process exits.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Time between two checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the settings file of a VM.
///
/// # Errors
///
/// Fails if the file cannot be read, or with all problems that were found in it.
pub fn read_vm_settings(path: &Path) -> eyre::Result<VmSettings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("failed to read settings file {}", path.display()))?;
    parse_vm_settings(&text).wrap_err_with(|| format!("invalid settings file {}", path.display()))
}

/// Runs the gateway until SIGTERM or SIGINT, then drains it and returns its tokens.
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
    let peer_address = SocketAddr::new(settings.ip, settings.peer_port);
    let peer_listener = bind(peer_address).await?;
    let datagram_socket = UdpSocket::bind(peer_address)
        .await
        .wrap_err_with(|| format!("failed to receive datagrams on {peer_address}"))?;
    let datagram_socket = Arc::new(datagram_socket);
    let readiness_listener = bind(settings.readiness_address).await?;
    let caller_listener = bind(settings.caller_address).await?;
    let metrics_listener = bind(SocketAddr::new(settings.ip, metrics_port)).await?;
    let context = GatewayContext::new(settings, CancellationToken::new());
    log::info!(
        vm = context.settings().vm_id,
        run = context.lock_tokens().holding.holder_id();
        "gateway started"
    );

    let (closing, finished) = (ClosingSignals::default(), CancellationToken::new());
    tokio::spawn(watch_stalls(Arc::clone(&context)));
    tokio::spawn(follow_config(Arc::clone(&context)));
    tokio::spawn(fetch_configs(Arc::clone(&context)));
    tokio::spawn(follow_servers(Arc::clone(&context)));
    context.set_datagram_socket(Arc::clone(&datagram_socket));
    tokio::spawn(receive_datagrams(Arc::clone(&context), datagram_socket));
    tokio::spawn(judge_parts(Arc::clone(&context)));
    tokio::spawn(send_digests(Arc::clone(&context)));
    tokio::spawn(store_stream_origins(Arc::clone(&context)));
    tokio::spawn(probe_paths(Arc::clone(&context)));
    tokio::spawn(serve_peers(Arc::clone(&context), peer_listener));
    tokio::spawn(serve_readiness(Arc::clone(&context), readiness_listener));
    tokio::spawn(serve_metrics(Arc::clone(&context), metrics_listener));
    tokio::spawn(follow_settings(Arc::clone(&context), path, hang_up));
    let accepting =
        tokio::spawn(serve_clients(Arc::clone(&context), caller_listener, closing.clone()));
    let holding_task = tokio::spawn(maintain_holding(Arc::clone(&context), finished.clone()));

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let plan = DrainPlan::new(context.now(), context.settings().bounds.shutdown_grace);
    drain(&context, &plan, &closing, accepting).await;
    // From now on other VMs can't hand over tokens, which this VM might not return any more.
    context.serving_ended.cancel();
    if !context.is_ledger_fresh()
        && tokio::time::timeout(plan.transfer_time(context.now()), transfer_all_tokens(&context))
            .await
            .is_err()
    {
        log::warn!("tokens not handed over: other VMs did not answer in time");
    }
    finished.cancel();
    if tokio::time::timeout(plan.return_time(context.now()), holding_task).await.is_err() {
        log::warn!("tokens not handed back: the log service did not answer in time");
    }
    context.cancel.cancel();
    let calls_answered = context.internal_connections.wait_until_closed();
    let time_left = plan.exits_at.saturating_sub(context.now());
    if tokio::time::timeout(PEER_ANSWER_TIMEOUT.min(time_left), calls_answered).await.is_err() {
        log::info!(
            connections:% = context.internal_connections;
            "calls of other VMs or operators not answered before the exit"
        );
    }
    context.exiting.cancel();
    let unanswered = context.caller_connections.counts().unanswered();
    log::info!(
        connections:% = context.caller_connections, unanswered = unanswered,
        requests = context.requests.len(), internal_connections:% = context.internal_connections;
        "gateway stopped"
    );
    log::logger().flush();
    Ok(())
}

/// Keeps serving while the load balancer still sends connections, then waits until nothing is owed to
/// callers: until their connections are closed, and the requests that go on without their callers
/// have ended.
async fn drain(
    context: &GatewayContext,
    plan: &DrainPlan,
    signals: &ClosingSignals,
    accepting: JoinHandle<()>,
) {
    context.begin_drain(*plan);
    log::info!(
        connections:% = context.caller_connections, requests = context.requests.len(),
        grace_ms = context.settings().bounds.shutdown_grace.as_millis() as u64;
        "stopping"
    );
    tokio::time::sleep_until(context.instant(plan.closes_at)).await;
    signals.closing.cancel();
    if let Err(error) = accepting.await {
        log::error!(error:% = error; "task that accepts connections failed");
    }
    log::info!(
        connections:% = context.caller_connections, requests = context.requests.len();
        "no connection accepted any more"
    );
    cancel_at(context.instant(plan.opened_end_at), &signals.closing_opened);
    cancel_at(context.instant(plan.heads_end_at), &signals.closing_heads);
    let all_answered = async {
        context.caller_connections.wait_until_closed().await;
        context.requests.close();
        context.requests.wait().await;
    };
    let serving_end = context.instant(plan.serves_until);
    if tokio::time::timeout_at(serving_end, all_answered).await.is_ok() {
        return;
    }
    log::warn!(
        connections:% = context.caller_connections, requests = context.requests.len();
        "requests cut off at the end of the shutdown grace period"
    );
    context.serving_ended.cancel();
    context.requests.close();
    let answered = async {
        context.caller_connections.wait_until_closed().await;
        // Their tokens are not returned before it is known whether servers have run them.
        context.requests.wait().await;
    };
    if tokio::time::timeout(plan.answer_time(context.now()), answered).await.is_err() {
        log::warn!(
            connections:% = context.caller_connections, requests = context.requests.len();
            "connections closed at the end of the shutdown grace period"
        );
    }
}

fn cancel_at(at: tokio::time::Instant, signal: &CancellationToken) {
    let signal = signal.clone();
    tokio::spawn(async move {
        tokio::time::sleep_until(at).await;
        signal.cancel();
    });
}

/// Reloads the settings file on SIGHUP or after a change, and regularly does the upkeep of the
/// metrics.
async fn follow_settings(context: Arc<GatewayContext>, path: PathBuf, mut hang_up: Signal) {
    let mut changed_at = modified_at(&path);
    loop {
        run_metrics_upkeep();
        tokio::select! {
            _ = hang_up.recv() => {}
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {
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
                log::info!("settings reloaded; changed listen addresses apply from the next start");
                context.replace_settings(settings);
            }
            Err(error) => {
                log::error!(
                    error:% = format!("{error:#}");
                    "settings not reloaded; keeping the active ones"
                );
            }
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
