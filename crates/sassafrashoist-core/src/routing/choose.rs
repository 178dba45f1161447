//! The choice of a backend server for one attempt.

use super::policy::RoutingPolicy;
use super::routing_table::RoutingTable;
use super::server_view::ServerView;
use crate::ids::{BackendServerId, DataCentreId, ModelId, PoolId};
use crate::result_code::ResultCode;

/// What an attempt needs of its backend server.
#[derive(Debug, Clone)]
pub struct RouteNeed {
    /// The pool of the route.
    pub pool_id: PoolId,
    /// The model that must be loaded; none for a plain service.
    pub model_id: Option<ModelId>,
    /// The router's own data centre, whose servers go first.
    pub data_centre_id: DataCentreId,
    /// Servers that failed this request before.
    pub excluded: Vec<BackendServerId>,
}

/// Chooses a server; `draw` supplies random numbers.
///
/// # Errors
///
/// Fails with the code to answer when no server can be used.
pub fn choose_server(
    table: &mut RoutingTable,
    need: &RouteNeed,
    policy: RoutingPolicy,
    mut draw: impl FnMut() -> u64,
) -> Result<ServerView, ResultCode> {
    table.turn = table.turn.wrapping_add(1);
    let usable: Vec<&ServerView> =
        table.servers().filter(|server| is_usable(server, need)).collect();
    let local: Vec<&ServerView> = usable
        .iter()
        .copied()
        .filter(|server| server.data_centre_id == need.data_centre_id)
        .collect();
    let candidates = if local.is_empty() { usable } else { local };
    if candidates.is_empty() {
        return Err(ResultCode::NoBackendServer);
    }
    let drawn = |number: u64| candidates[(number % candidates.len() as u64) as usize];
    let chosen = match policy {
        RoutingPolicy::Random => drawn(draw()),
        RoutingPolicy::RoundRobin => candidates[table.turn % candidates.len()],
        RoutingPolicy::LeastOutstanding => lighter_of(&candidates),
        RoutingPolicy::PowerOfTwoChoices => lighter_of(&[drawn(draw()), drawn(draw())]),
    };
    Ok(chosen.clone())
}

fn is_usable(server: &ServerView, need: &RouteNeed) -> bool {
    server.pool_id == need.pool_id
        && server.leaving_since.is_none()
        && !need.excluded.contains(&server.server_id)
        && need.model_id.as_ref().is_none_or(|model_id| server.model_ids.contains(model_id))
}

fn lighter_of<'a>(servers: &[&'a ServerView]) -> &'a ServerView {
    let mut lightest = servers[0];
    for server in servers {
        if server.load_per_mille() < lightest.load_per_mille() {
            lightest = server;
        }
    }
    lightest
}
