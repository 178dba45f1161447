//! Chooses the backend server of one attempt, and obtains a permit if the server names a limit.

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use sassafrashoist_core::gateway::live_vms::FleetVm;
use sassafrashoist_core::gateway::server_directory::{ServerChoice, ServerRequirements};
use sassafrashoist_core::gateway::server_listing::ServerListing;

use super::gateway_context::GatewayContext;
use super::issue_permit::issue_permit;
use super::permit_messages::{
    ColdServer, LimitedServer, PERMIT_PATH, PermitOutcome, PermitRequest, PermitResponse,
};
use super::request_context::RequestContext;
use super::send_message::RESPONSE_TIMEOUT;
use super::send_message::send_message_within;
use super::share_limit::record_limit_report;

/// The longest wait for a permit when every server that may serve the request has none available.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(1);
/// The number of servers for which a permit is requested before the request waits for one.
const MAX_SERVERS_ASKED: u32 = 3;
/// The part of the time left that a request may wait for a permit.
const PERMIT_WAIT_FRACTION: f64 = 0.25;
/// The time until a permit is requested again when no issuer can be reached.
const NO_ISSUER_DELAY: Duration = Duration::from_millis(500);
/// The minimum time until a permit is requested again after a refusal.
const MIN_REFUSED_DELAY: Duration = Duration::from_millis(20);

/// The reason when no server can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoServer {
    /// No server takes requests of the pool.
    NoneAvailable,
    /// All servers that take requests name limits, and no permit is available in time; one is
    /// expected after this time.
    LimitReached(Duration),
}

/// Chooses the server of one attempt and counts the attempt as started.
///
/// A server that names a limit is chosen only with a permit. A request waits for a permit only if no
/// other server is left.
///
/// # Errors
///
/// Fails when there is no such server.
pub async fn choose_server(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    requirements: &ServerRequirements,
) -> Result<ServerChoice, NoServer> {
    for _ in 0..MAX_SERVERS_ASKED {
        let Some(found) = find_server(context, requirements) else {
            break;
        };
        if !found.needs_permit {
            return Ok(found);
        }
        let outcome = obtain_permit(context, request, &found.listing, Duration::ZERO).await;
        if outcome.is_ok() && begin_attempt(context, &found, requirements) {
            return Ok(found);
        }
    }
    let without_limit = ServerRequirements { excludes_limited: true, ..requirements.clone() };
    match find_server(context, &without_limit) {
        Some(found) => Ok(found),
        None => wait_for_server(context, request, requirements).await,
    }
}

/// Finds the server with the lowest cost; counts the attempt as started if it needs no permit.
fn find_server(
    context: &GatewayContext,
    requirements: &ServerRequirements,
) -> Option<ServerChoice> {
    let now = context.now();
    let mut servers = context.lock_servers();
    let found = servers.find(requirements, rand::random(), now)?;
    if !found.needs_permit {
        servers.begin_attempt(&found, requirements, now);
    }
    Some(found)
}

/// Waits for a permit of the server that has one first.
async fn wait_for_server(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    requirements: &ServerRequirements,
) -> Result<ServerChoice, NoServer> {
    let now = context.now();
    let Some(found) = context.lock_servers().find_next_permitted(requirements, now) else {
        return Err(NoServer::NoneAvailable);
    };
    let max_wait = request.time_left(now).mul_f64(PERMIT_WAIT_FRACTION).min(MAX_PERMIT_WAIT);
    match obtain_permit(context, request, &found.listing, max_wait).await {
        Ok(()) if begin_attempt(context, &found, requirements) => Ok(found),
        Ok(()) => Err(NoServer::NoneAvailable),
        Err(return_in) => Err(NoServer::LimitReached(return_in)),
    }
}

fn begin_attempt(
    context: &GatewayContext,
    found: &ServerChoice,
    requirements: &ServerRequirements,
) -> bool {
    context.lock_servers().begin_attempt(found, requirements, context.now())
}

/// Obtains a permit to send one request to a server.
///
/// # Errors
///
/// Fails with the time until a permit is expected.
async fn obtain_permit(
    context: &Arc<GatewayContext>,
    request: &RequestContext,
    listing: &ServerListing,
    max_wait: Duration,
) -> Result<(), Duration> {
    let server_id = &listing.id;
    let now = context.now();
    let limited = context.lock_servers().server(server_id).and_then(|server| {
        server.limit_per_s(now).map(|_| (server.limit.report(now), server.warm_up_left(now)))
    });
    let Some((limit, warm_up_left)) = limited else {
        return Ok(());
    };
    let cold = (!warm_up_left.is_zero())
        .then(|| ColdServer { left_ms: warm_up_left.as_millis().max(1) as u64 });
    let server = LimitedServer {
        server_id: server_id.clone(),
        started_at_unix_ms: listing.started_at_unix_ms,
        limit,
    };
    let permit_request = PermitRequest { server, priority: request.priority, max_wait };
    let issuers = context.reachable_issuers(server_id);
    for issuer in issuers {
        let response = match request_permit(context, &issuer, &permit_request, cold).await {
            Ok(response) => response,
            Err(error) => {
                log::info!(
                    id = request.id(), server = server_id, vm = issuer.vm_id,
                    error:% = format!("{error:#}");
                    "no permit from another VM"
                );
                context.lock_permits().record_unreachable(&issuer.vm_id, context.now());
                continue;
            }
        };
        if let Some(limit) = response.limit {
            record_limit_report(context, &LimitedServer { limit, ..permit_request.server.clone() });
        }
        match response.outcome {
            PermitOutcome::Issued => return Ok(()),
            PermitOutcome::Refused { next_in, return_in } => {
                let retry_at = context.now() + next_in.max(MIN_REFUSED_DELAY);
                context.lock_servers().record_next_permit(server_id, retry_at);
                return Err(return_in);
            }
            PermitOutcome::NotIssuer => {}
        }
    }
    context.lock_servers().record_next_permit(server_id, context.now() + NO_ISSUER_DELAY);
    Err(NO_ISSUER_DELAY)
}

async fn request_permit(
    context: &Arc<GatewayContext>,
    issuer: &FleetVm,
    request: &PermitRequest,
    cold: Option<ColdServer>,
) -> eyre::Result<PermitResponse> {
    if issuer.vm_id == context.settings().vm_id {
        return Ok(issue_permit(context, request, cold).await);
    }
    let timeout = RESPONSE_TIMEOUT + request.max_wait;
    let address = issuer.peer_address;
    let body = match cold {
        Some(cold) => send_message_within(address, PERMIT_PATH, &(request, cold), timeout).await?,
        None => send_message_within(address, PERMIT_PATH, request, timeout).await?,
    };
    postcard::from_bytes(&body).wrap_err("failed to decode the response")
}
