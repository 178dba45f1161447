//! Refuses requests for which the link of this VM has no room, and lets their callers go to other VMs.

use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Response};
use sassafrashoist_core::gateway::link_budget::LinkDemand;
use sassafrashoist_core::gateway::route_table::RouteTable;

use super::gateway_context::GatewayContext;
use super::request_context::RequestContext;
use super::response_body::ResponseBody;
use super::serve_request::Refusal;

/// The length that is expected of a body that does not state it.
const UNKNOWN_BODY_BYTES: u64 = 4_096;

/// The time after which the load balancer selects another VM: it asks once a second, and twice.
const LOAD_BALANCER_REACTION_TIME: Duration = Duration::from_secs(2);
/// The shortest time after which the caller of a refused request may return.
const MIN_RETURN_TIME: Duration = Duration::from_millis(100);

/// Returns the response that refuses a request whose body has not been read yet; `None` if it is admitted.
///
/// Its caller may return when the link has room again, or when the load balancer selects another VM. The
/// connection is closed, as the requests that follow on it would find no room either.
pub fn refuse_by_link(
    context: &GatewayContext,
    routes: &RouteTable,
    request: &RequestContext,
) -> Option<Response<ResponseBody>> {
    let now = context.now();
    let demand = LinkDemand {
        route_id: &request.route.id,
        body_bytes: expected_body_bytes(&request.headers),
        priority: request.priority,
        time_left: request.time_left(now),
        shortest_target_latency: routes.shortest_target_latency(),
    };
    let has_neighbours = || context.lock_tokens().issuers.live_vms.neighbours(now).next().is_some();
    let admitted = context.lock_link().admit(&demand, has_neighbours, now);
    let full = admitted.err()?;
    metrics::counter!("sassafrashoist_link_refusals_total").increment(1);
    let detail = format_args!(
        "link busy for {} ms, packets wait {} ms, body of {} bytes",
        full.backlog.as_millis(),
        full.delay.as_millis(),
        demand.body_bytes
    );
    let return_after = if context.is_link_overloaded() {
        LOAD_BALANCER_REACTION_TIME
    } else {
        MIN_RETURN_TIME.max(full.backlog)
    };
    let refusal = Refusal::retry_later(Duration::ZERO, "link of the VM is full");
    let refusal = refusal.not_before(return_after);
    let mut response = refusal.into_response(request.id(), &detail);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    Some(response)
}

fn expected_body_bytes(headers: &HeaderMap) -> u64 {
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    let unstated = if headers.contains_key(TRANSFER_ENCODING) { UNKNOWN_BODY_BYTES } else { 0 };
    length.unwrap_or(unstated)
}
