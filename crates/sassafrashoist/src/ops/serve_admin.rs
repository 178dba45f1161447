//! The admin port: readiness, state, the active bundle, metrics and the decisions about a request.

use std::sync::Arc;

use futures::FutureExt;
use http::{Request, Response};
use volo_http::body::Body;

use crate::core::clock::read_clock;
use crate::core::readiness::ReadinessStep;
use crate::core::router_context::RouterContext;
use crate::ops::dump_state::dump_state;
use crate::util::http_response::{build_json_response, build_response};
use crate::util::http_server::HttpHandler;
use crate::util::metrics_page::render_metrics;

/// The path prefix for the decisions about a request key.
const EXPLAIN_PATH: &str = "/explain/";

/// Returns the handler of the admin port.
pub fn build_admin_handler(context: Arc<RouterContext>) -> HttpHandler {
    Arc::new(move |request| {
        let context = Arc::clone(&context);
        async move { handle_admin_request(&context, &request) }.boxed()
    })
}

fn handle_admin_request(context: &RouterContext, request: &Request<Body>) -> Response<Body> {
    let path = request.uri().path();
    if let Some(key) = path.strip_prefix(EXPLAIN_PATH) {
        let decisions = context.tables.lock_decisions().explain(key);
        return build_json_response(200, &decisions);
    }
    match path {
        "/state" => build_json_response(200, &dump_state(context)),
        "/bundle" => build_json_response(200, &context.tables.lock_bundle_chain().snapshot()),
        "/metrics" => build_response(200, "text/plain; version=0.0.4", render_metrics()),
        "/ready" => build_readiness_response(context),
        _ => build_response(
            404,
            "text/plain",
            "paths: /ready /state /bundle /metrics /explain/KEY\n",
        ),
    }
}

fn build_readiness_response(context: &RouterContext) -> Response<Body> {
    if context.drain_gate.is_draining() {
        return build_response(503, "text/plain", "draining\n");
    }
    match context.tables.readiness() {
        ReadinessStep::Ready => build_response(200, "text/plain", "ready\n"),
        step => build_response(503, "text/plain", describe_readiness(context, step)),
    }
}

/// Describes what the process waits for, and its last contact with the VMs and log streams that can
/// supply it.
fn describe_readiness(context: &RouterContext, step: ReadinessStep) -> String {
    let mut text = format!("{}\n", step.describe());
    let version = context.tables.bundle().map_or(0, |bundle| bundle.version());
    text.push_str(&format!("bundle version: {version}\n"));
    let (contacted_count, member_count) = {
        let members = context.tables.lock_membership();
        let contacted = members.members().filter(|member| member.update.incarnation > 0).count();
        (contacted, members.members().count())
    };
    text.push_str(&format!("other VMs heard: {contacted_count} of {member_count}\n"));
    let streams = context.tables.lock_relay().view(read_clock());
    if streams.is_empty() {
        text.push_str("platform: never heard\n");
    }
    for (name, stream) in streams {
        let freshness = if stream.is_stale { "not heard lately" } else { "heard" };
        text.push_str(&format!("stream {name}: {} behind, {freshness}\n", stream.lag_records));
    }
    text
}
