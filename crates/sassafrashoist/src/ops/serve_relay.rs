//! Serves records of log streams to other VMs, so that not every VM reads the platform.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::clock::read_clock;
use crate::core::relay_messages::{RelayRequest, RelayResponse};
use crate::core::router_context::RouterContext;

/// The longest time that a relay request waits for a record.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Handles a `Fleet.Relay` request, and waits for the first record if there is none yet.
pub async fn serve_relay(context: &RouterContext, request: &RelayRequest) -> RelayResponse {
    let deadline = Instant::now() + request.wait.min(MAX_WAIT);
    loop {
        let arrived = context.tables.relay_arrived.notified();
        let response = context.tables.lock_relay().respond(request, read_clock());
        let is_empty =
            matches!(&response, RelayResponse::Page { records, .. } if records.is_empty());
        if !is_empty || Instant::now() >= deadline {
            return response;
        }
        let _ = tokio::time::timeout_at(deadline, arrived).await;
    }
}
