//! Tells the other VMs when the limit of a backend server has changed.
//!
//! The VM that receives a response with a changed limit reports it to the issuer of the server's
//! permits, which sends it to all VMs. A VM that misses it learns the limit from a response of the
//! server, or from the issuer.

use std::sync::Arc;
use std::time::Duration;

use futures::{StreamExt, stream};
use sassafrashoist_core::routing::server_limit::LimitReport;

use super::gateway_context::GatewayContext;
use super::permit_messages::{LIMIT_PATH, LimitNotice, LimitedServer};
use super::send_message::{RESPONSE_TIMEOUT, send_message};

/// The minimum time between two notices of one server's limit to all VMs.
const MIN_SHARE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of VMs that are told at a time.
const CONCURRENT_NOTICES: usize = 16;

/// Records what another VM reports about a limit; returns whether the limit has changed.
pub fn record_limit_report(context: &GatewayContext, server: &LimitedServer) -> bool {
    let now = context.now();
    let mut servers = context.lock_servers();
    let started_at = servers.server(&server.server_id).map(|s| s.listing.started_at_unix_ms);
    if started_at != Some(server.started_at_unix_ms) {
        return false;
    }
    let changed =
        servers.record_limit_report(&server.server_id, &server.limit, RESPONSE_TIMEOUT, now);
    drop(servers);
    match changed.map(|limit| limit.per_s()) {
        Some(Some(limit_per_s)) => log::info!(
            server = server.server_id, limit_per_s = limit_per_s;
            "limit of a server learned from another VM"
        ),
        Some(None) => log::info!(
            server = server.server_id; "end of a server's limit learned from another VM"
        ),
        None => {}
    }
    changed.is_some()
}

/// Reports a changed limit to the issuer of the server's permits.
pub fn start_reporting(context: &Arc<GatewayContext>, server_id: &str) {
    let Some(server) = limited_server(context, server_id) else {
        return;
    };
    let context = Arc::clone(context);
    tokio::spawn(async move { report_limit(&context, server).await });
}

/// Receives a notice of another VM.
pub fn receive_notice(context: &Arc<GatewayContext>, notice: &LimitNotice) {
    let is_changed = record_limit_report(context, &notice.server);
    if is_changed && notice.is_to_be_shared {
        start_sharing(context, &notice.server.server_id);
    }
}

/// Starts to send the limit of a server to all other VMs unless that is already in progress.
pub fn start_sharing(context: &Arc<GatewayContext>, server_id: &str) {
    if context.lock_permits().sharing.insert(server_id.to_owned()) {
        let (context, server_id) = (Arc::clone(context), server_id.to_owned());
        tokio::spawn(async move { share_limit(&context, &server_id).await });
    }
}

async fn report_limit(context: &Arc<GatewayContext>, server: LimitedServer) {
    let issuers = context.reachable_issuers(&server.server_id);
    let own_id = context.settings().vm_id.clone();
    for issuer in issuers {
        if issuer.vm_id == own_id {
            return start_sharing(context, &server.server_id);
        }
        let notice = LimitNotice { server: server.clone(), is_to_be_shared: true };
        match send_message(issuer.peer_address, LIMIT_PATH, &notice).await {
            Ok(_) => return,
            Err(error) => {
                log::info!(
                    server = server.server_id, vm = issuer.vm_id, error:% = error;
                    "limit not reported to another VM"
                );
                context.lock_permits().record_unreachable(&issuer.vm_id, context.now());
            }
        }
    }
}

/// Sends the limit of a server to all other VMs, and again if it changes meanwhile.
async fn share_limit(context: &Arc<GatewayContext>, server_id: &str) {
    let mut shared: Option<LimitReport> = None;
    while let Some(server) = limited_server(context, server_id)
        && shared.is_none_or(|shared| shared.per_s != server.limit.per_s)
    {
        shared = Some(server.limit);
        let notice = LimitNotice { server, is_to_be_shared: false };
        let peers = context.lock_tokens().peer_addresses();
        let notices = stream::iter(peers).map(|address| send_message(address, LIMIT_PATH, &notice));
        let results: Vec<_> = notices.buffer_unordered(CONCURRENT_NOTICES).collect().await;
        let failed_count = results.iter().filter(|result| result.is_err()).count();
        log::info!(
            server = server_id, vms = results.len(), failed = failed_count;
            "limit of a server sent to all VMs"
        );
        tokio::time::sleep(MIN_SHARE_INTERVAL).await;
    }
    context.lock_permits().sharing.remove(server_id);
}

fn limited_server(context: &GatewayContext, server_id: &str) -> Option<LimitedServer> {
    let now = context.now();
    let servers = context.lock_servers();
    let server = servers.server(server_id)?;
    Some(LimitedServer {
        server_id: server_id.to_owned(),
        started_at_unix_ms: server.listing.started_at_unix_ms,
        limit: server.limit.report(now),
    })
}
