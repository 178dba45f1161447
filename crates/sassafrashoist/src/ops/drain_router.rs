//! The graceful shutdown of a router process.

use crate::core::router_context::RouterContext;
use sassafrashoist_core::invariants::Promise;

/// Refuses new requests, waits for those in progress up to the set bound, and stops the process's
/// tasks.
pub async fn drain_router(context: &RouterContext) {
    log::info!(in_flight = context.drain_gate.in_flight_count(); "drain starts");
    context.drain_gate.start_drain();
    let bound = context.settings.drain_bound;
    if tokio::time::timeout(bound, context.drain_gate.wait_idle()).await.is_err() {
        let cut_count = context.drain_gate.in_flight_count() as u64;
        context.invariants.breach(Promise::DrainCuts, "drain bound passed", cut_count);
    }
    context.cancel.cancel();
    log::info!("drain ended");
}
