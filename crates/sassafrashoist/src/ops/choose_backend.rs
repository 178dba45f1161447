//! Chooses the backend server of an attempt.

use crate::core::caller_request::CallerRequest;
use crate::core::refusal::Refusal;
use crate::core::router_context::RouterContext;
use sassafrashoist_bundle::route::RouteKind;
use sassafrashoist_core::decision_log::DecisionKind;
use sassafrashoist_core::ids::BackendServerId;
use sassafrashoist_core::result_code::ResultCode;
use sassafrashoist_core::routing::choose::{RouteNeed, choose_server};
use sassafrashoist_core::routing::server_view::ServerView;

/// Chooses the backend server of an attempt.
///
/// # Errors
///
/// Fails with the refusal to answer when none can be used.
pub fn choose_backend(
    context: &RouterContext,
    request: &CallerRequest,
    excluded: &[BackendServerId],
) -> Result<ServerView, Refusal> {
    let model_id = match &request.route.kind {
        RouteKind::Model { model_id, .. } => Some(model_id.clone()),
        RouteKind::Service { .. } => None,
    };
    let need = RouteNeed {
        pool_id: request.route.pool_id.clone(),
        model_id,
        data_centre_id: context.settings.data_centre_id.clone(),
        excluded: excluded.to_vec(),
    };
    let chosen = choose_server(
        &mut context.tables.lock_routing(),
        &need,
        context.settings.routing_policy,
        rand::random,
    );
    match chosen {
        Ok(server) => {
            let reason = format!("server {} at load {}", server.server_id, server.load_per_mille());
            context.record_decision(&request.key, DecisionKind::Route, ResultCode::Done, reason);
            Ok(server)
        }
        Err(code) => {
            let reason = format!("no server of pool {} can be used", need.pool_id);
            context.record_decision(&request.key, DecisionKind::Route, code, reason);
            Err(Refusal::of(code).retry_after(Some(std::time::Duration::from_secs(1))))
        }
    }
}
