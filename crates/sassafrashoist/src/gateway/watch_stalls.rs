//! Notices that this process stood still.

use std::sync::Arc;

use sassafrashoist_core::gateway::stall_watch::TICK_INTERVAL;

use super::gateway_context::GatewayContext;

/// Records that this process runs until cancelled.
pub async fn watch_stalls(context: Arc<GatewayContext>) {
    loop {
        context.record_running();
        tokio::select! {
            () = tokio::time::sleep(TICK_INTERVAL) => {}
            () = context.cancel.cancelled() => return,
        }
    }
}
