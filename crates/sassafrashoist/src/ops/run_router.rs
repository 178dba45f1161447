//! Starts a router process and its tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use tokio_util::sync::CancellationToken;

use crate::core::router_context::RouterContext;
use crate::core::settings::Settings;
use crate::ops::exchange_heartbeats::exchange_heartbeats;
use crate::ops::follow_bundles::follow_bundles;
use crate::ops::follow_ledger::follow_ledger;
use crate::ops::follow_vm_list::follow_vm_list;
use crate::ops::maintain_shards::maintain_shards;
use crate::ops::poll_backends::poll_backends;
use crate::ops::repair_bundles::repair_bundles;
use crate::ops::serve_admin::build_admin_handler;
use crate::ops::serve_callers::build_caller_handler;
use crate::ops::serve_peers::serve_peers;
use crate::ops::write_snapshots::write_snapshots;
use crate::util::http_server::{bind_listener, serve_http};
use crate::util::metrics_page::init_metrics;

/// A running router.
pub struct RunningRouter {
    /// The context that its tasks share.
    pub context: Arc<RouterContext>,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address of the admin port.
    pub admin_address: SocketAddr,
    /// The address for other VMs.
    pub peer_address: SocketAddr,
}

/// Binds the three ports and starts every task; the tasks stop when the token is cancelled.
///
/// # Errors
///
/// Fails when a port cannot be bound.
pub async fn start_router(settings: Settings, cancel: CancellationToken) -> Result<RunningRouter> {
    init_metrics();
    let callers = bind_listener(settings.caller_address).await?;
    let admin = bind_listener(settings.admin_address).await?;
    let peers = bind_listener(settings.peer_address).await?;
    let caller_address = callers.local_addr()?;
    let admin_address = admin.local_addr()?;
    let peer_address = peers.local_addr()?;
    let context = RouterContext::new(settings, cancel.clone());
    serve_http(callers, build_caller_handler(Arc::clone(&context)), cancel.clone());
    serve_http(admin, build_admin_handler(Arc::clone(&context)), cancel);
    serve_peers(Arc::clone(&context), peers);
    tokio::spawn(exchange_heartbeats(Arc::clone(&context)));
    tokio::spawn(follow_bundles(Arc::clone(&context)));
    tokio::spawn(follow_ledger(Arc::clone(&context)));
    tokio::spawn(maintain_shards(Arc::clone(&context)));
    tokio::spawn(follow_vm_list(Arc::clone(&context)));
    tokio::spawn(repair_bundles(Arc::clone(&context)));
    tokio::spawn(write_snapshots(Arc::clone(&context)));
    tokio::spawn(poll_backends(Arc::clone(&context)));
    log::info!(
        callers = caller_address.to_string(),
        admin = admin_address.to_string(),
        peers = peer_address.to_string();
        "router started"
    );
    Ok(RunningRouter { context, caller_address, admin_address, peer_address })
}
