//! The graceful shutdown of a router process.
//!
//! `/ready` first reports *draining*, so that the load balancer sends no new requests. The drain
//! then waits for the requests in progress and for the settlements that run in the background, and
//! stops the process's tasks last.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::router_context::RouterContext;
use sassafrashoist_core::invariants::Invariant;

/// Time to send the last bytes of the last response after its body was read.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Refuses new requests, waits up to the drain timeout of the settings for those in progress, and
/// stops the process's tasks.
pub async fn drain_router(context: &RouterContext) {
    log::info!(in_flight = context.drain_gate.in_flight_count(); "drain started");
    let deadline = Instant::now() + context.settings.drain_timeout;
    context.drain_gate.start_drain();
    if tokio::time::timeout_at(deadline, context.drain_gate.wait_idle()).await.is_err() {
        let cut_count = context.drain_gate.in_flight_count() as u64;
        context.invariants.record_violation(
            Invariant::DrainCuts,
            "drain timeout passed",
            cut_count,
        );
    }
    context.settlements.close();
    if tokio::time::timeout_at(deadline, context.settlements.wait()).await.is_err() {
        let open_count = context.settlements.len();
        log::warn!(open = open_count; "settlements are left to the sweep of their owners");
    }
    tokio::time::sleep(FLUSH_TIME).await;
    context.cancel.cancel();
    log::info!("drain finished");
}
