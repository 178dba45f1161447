//! Finds out when lost paths to backend servers are back.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::gateway_context::GatewayContext;

/// The time between two checks whether a path should be probed.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long the connection of a probe may take to open.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Probes lost paths until cancelled.
pub async fn probe_paths(context: Arc<GatewayContext>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = context.cancel.cancelled() => return,
        }
        let probed = context.lock_paths().next_probes(context.now());
        for server_id in probed {
            tokio::spawn(probe(Arc::clone(&context), server_id));
        }
    }
}

async fn probe(context: Arc<GatewayContext>, server_id: String) {
    let Some(listing) = context.lock_servers().server(&server_id).map(|s| s.listing.clone()) else {
        context.lock_paths().retain(|id| id != server_id);
        return;
    };
    metrics::counter!("sassafrashoist_path_probes_total").increment(1);
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(listing.address)).await {
        Ok(Ok(_)) => context.record_opened(&listing.pool_id, &server_id),
        Ok(Err(error)) => log::debug!(server = server_id, error:% = error; "path still lost"),
        Err(_) => log::debug!(server = server_id; "path still lost: no response"),
    }
}
