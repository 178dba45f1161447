//! The graceful shutdown of a router process.
//!
//! `/ready` says *draining* first, so that the balancer sends nothing new. Requests in progress end,
//! then the settlements that their callers did not wait for, and only then do the tasks stop.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::router_context::RouterContext;
use sassafrashoist_core::invariants::Invariant;

/// Time for the last bytes of the last answer to leave after its body was read.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Refuses new requests, waits for those in progress up to the set bound, and stops the process's
/// tasks.
pub async fn drain_router(context: &RouterContext) {
    log::info!(in_flight = context.drain_gate.in_flight_count(); "drain starts");
    let deadline = Instant::now() + context.settings.drain_timeout;
    context.drain_gate.start_drain();
    if tokio::time::timeout_at(deadline, context.drain_gate.wait_idle()).await.is_err() {
        let cut_count = context.drain_gate.in_flight_count() as u64;
        context.invariants.record_violation(Invariant::DrainCuts, "drain bound passed", cut_count);
    }
    context.settlements.close();
    if tokio::time::timeout_at(deadline, context.settlements.wait()).await.is_err() {
        let open_count = context.settlements.len();
        log::warn!(open = open_count; "settlements are left to the sweep of their owners");
    }
    tokio::time::sleep(FLUSH_TIME).await;
    context.cancel.cancel();
    log::info!("drain ended");
}
