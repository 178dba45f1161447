//! Issues permits for a backend server that names a limit, to requests of all VMs.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::permit_bucket::{PermitDecision, PermitRate, PermitTicket};

use super::gateway_context::GatewayContext;
use super::permit_messages::{
    ColdServer, LimitedServer, PermitOutcome, PermitRequest, PermitResponse,
};
use super::share_limit::{record_limit_report, start_sharing};

/// The shortest time between two checks whether a waiting request can have a permit.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The longest time for which a server counts as cold because another VM says so; the entry is read
/// within this time.
const MAX_REPORTED_WARM_UP: Duration = Duration::from_secs(3);

/// The place of a request that waits for a permit; dropping it frees the place.
struct WaitingPlace<'a> {
    context: &'a GatewayContext,
    server_id: &'a str,
    ticket: PermitTicket,
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        self.context.lock_permits().leave(self.server_id, self.ticket);
    }
}

/// Issues a permit, after a wait if necessary and allowed, if this VM issues permits of the server.
pub async fn issue_permit(
    context: &Arc<GatewayContext>,
    request: &PermitRequest,
    cold: Option<ColdServer>,
) -> PermitResponse {
    let server_id = &request.server.server_id;
    if let Some(cold) = cold
        && known_limit(context, &request.server).is_some()
    {
        // The entry that says so may not have been read here yet.
        let left = Duration::from_millis(cold.left_ms).min(MAX_REPORTED_WARM_UP);
        context.lock_servers().record_warm_up(server_id, left, false, context.now());
    }
    if record_limit_report(context, &request.server) {
        start_sharing(context, server_id);
    }
    let outcome = decide(context, request).await.unwrap_or(PermitOutcome::NotIssuer);
    let limit = known_limit(context, &request.server).map(|known| known.limit);
    PermitResponse { outcome, limit }
}

/// Returns what this VM knows of the limit of a server; `None` if it does not know the server.
pub fn known_limit(context: &GatewayContext, server: &LimitedServer) -> Option<LimitedServer> {
    let now = context.now();
    let servers = context.lock_servers();
    let state = servers.server(&server.server_id)?;
    (state.listing.started_at_unix_ms == server.started_at_unix_ms)
        .then(|| LimitedServer { limit: state.limit.report(now), ..server.clone() })
}

async fn decide(context: &Arc<GatewayContext>, request: &PermitRequest) -> Option<PermitOutcome> {
    let server_id = &request.server.server_id;
    let now = context.now();
    let decision = match find_rate(context, &request.server)? {
        None => {
            context.lock_permits().forget(server_id);
            return Some(PermitOutcome::Issued);
        }
        Some(rate) => context.lock_permits().bucket(server_id, now).request(
            rate,
            request.priority,
            request.max_wait,
            now,
        ),
    };
    match decision {
        PermitDecision::Issued => Some(PermitOutcome::Issued),
        PermitDecision::Refused { next_in, return_in } => {
            Some(PermitOutcome::Refused { next_in, return_in })
        }
        PermitDecision::Waits(ticket) => {
            let place = WaitingPlace { context, server_id, ticket };
            wait_for_permit(context, &request.server, &place, now + request.max_wait).await
        }
    }
}

/// Returns the rate at which this VM issues permits of a server; `None` in the inner option if the
/// server has no limit, in the outer one if this VM does not issue its permits.
fn find_rate(context: &GatewayContext, server: &LimitedServer) -> Option<Option<PermitRate>> {
    known_limit(context, server)?;
    let now = context.now();
    let limit_per_s =
        context.lock_servers().server(&server.server_id).and_then(|state| state.limit_per_s(now));
    let Some(limit_per_s) = limit_per_s else {
        return Some(None);
    };
    let share = context.lock_tokens().issuers.own_share(&server.server_id, now)?;
    Some(Some(PermitRate { limit_per_s, share }))
}

async fn wait_for_permit(
    context: &GatewayContext,
    server: &LimitedServer,
    place: &WaitingPlace<'_>,
    give_up_at: Uptime,
) -> Option<PermitOutcome> {
    loop {
        match poll_permit(context, server, place.ticket, give_up_at) {
            ControlFlow::Break(outcome) => return outcome,
            ControlFlow::Continue(wait) => tokio::time::sleep(wait).await,
        }
    }
}

/// Returns the outcome for a request that waits, or the time until the next check.
fn poll_permit(
    context: &GatewayContext,
    server: &LimitedServer,
    ticket: PermitTicket,
    give_up_at: Uptime,
) -> ControlFlow<Option<PermitOutcome>, Duration> {
    let rate = match find_rate(context, server) {
        None => return ControlFlow::Break(None),
        Some(None) => return ControlFlow::Break(Some(PermitOutcome::Issued)),
        Some(Some(rate)) => rate,
    };
    let now = context.now();
    let mut permits = context.lock_permits();
    let bucket = permits.bucket(&server.server_id, now);
    let next_in = match bucket.take_waiting(ticket, rate, now) {
        Ok(()) => return ControlFlow::Break(Some(PermitOutcome::Issued)),
        Err(next_in) => next_in,
    };
    if now < give_up_at {
        let wait = next_in.max(MIN_POLL_INTERVAL).min(give_up_at.saturating_sub(now));
        return ControlFlow::Continue(wait);
    }
    bucket.leave(ticket);
    let (next_in, return_in) = bucket.refuse(rate, now);
    ControlFlow::Break(Some(PermitOutcome::Refused { next_in, return_in }))
}
