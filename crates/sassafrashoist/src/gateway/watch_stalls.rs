//! Notices that this process stood still, or is short of processor time, and whether datagrams wait.

use std::sync::Arc;

use sassafrashoist_core::gateway::stall_watch::TICK_INTERVAL;
use tokio::time::Instant;

use super::gateway_context::GatewayContext;

/// Records how late a timer fires until cancelled.
pub async fn watch_stalls(context: Arc<GatewayContext>) {
    loop {
        let due = Instant::now() + TICK_INTERVAL;
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = context.cancel.cancelled() => return,
        }
        context.record_running();
        context.record_timer(due.elapsed());
        context.check_inbox();
    }
}
