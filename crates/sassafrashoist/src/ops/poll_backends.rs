//! Polls the load reports and cache events of backend servers.
//!
//! Each round polls a bounded number of the data centre's servers, in turn, so that the traffic of
//! a VM does not grow with the number of servers; between two reports of a server its load is
//! estimated from this router's own requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::core::clock::read_clock;
use crate::core::router_context::RouterContext;
use sassafrashoist_core::ids::BackendServerId;
use sassafrashoist_core::routing::cache_event::CacheEventPage;
use sassafrashoist_core::routing::server_view::LoadReport;
use sassafrashoist_platform::http_client::{HttpRequest, HttpRequestError, send_http_request};

/// Time between two rounds.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a load report or a page of cache events may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of servers whose load is polled in one round.
const REPORTS_PER_ROUND: usize = 4;
/// The number of servers whose cache events are polled in one round.
const EVENT_PAGES_PER_ROUND: usize = 1;
/// The maximum number of blocks in one page of cache events.
const MAX_EVENT_BLOCKS: usize = 100;

/// A server that can be polled.
#[derive(Debug, Clone)]
struct PolledServer {
    server_id: BackendServerId,
    address: String,
    has_models: bool,
}

/// Polls the servers until the process stops.
pub async fn poll_backends(context: Arc<RouterContext>) {
    let mut round = 0;
    while !context.cancel.is_cancelled() {
        poll_reports(&context, round).await;
        poll_cache_events(&context, round).await;
        context.tables.dispatcher().fill_free_slots();
        tokio::time::sleep(POLL_INTERVAL).await;
        round += 1;
    }
}

async fn poll_reports(context: &RouterContext, round: usize) {
    let servers = list_local_servers(context);
    let polls = select_for_round(&servers, round, REPORTS_PER_ROUND).map(|server| async move {
        let url = format!("http://{}/control/load", server.address);
        let load: Result<Option<LoadReport>, HttpRequestError> = read_json(context, url).await;
        let mut routing = context.tables.lock_routing();
        match load {
            Ok(Some(load)) => routing.record_load(&server.server_id, load, read_clock()),
            Ok(None) => log::debug!("server {} reports no load", server.server_id),
            Err(_) => routing.record_failed_load_poll(&server.server_id, read_clock()),
        }
    });
    futures::future::join_all(polls).await;
}

async fn poll_cache_events(context: &RouterContext, round: usize) {
    let mut servers = list_local_servers(context);
    servers.retain(|server| server.has_models);
    let polls = select_for_round(&servers, round, EVENT_PAGES_PER_ROUND).map(|server| async move {
        let from = context.tables.lock_routing().next_cache_sequence(&server.server_id);
        let url = format!(
            "http://{}/control/cache-events?from={from}&max_blocks={MAX_EVENT_BLOCKS}",
            server.address
        );
        let page: Result<Option<CacheEventPage>, HttpRequestError> = read_json(context, url).await;
        if let Ok(Some(page)) = page {
            let mut routing = context.tables.lock_routing();
            routing.record_cache_events(&server.server_id, &page, read_clock());
        }
    });
    futures::future::join_all(polls).await;
}

fn list_local_servers(context: &RouterContext) -> Vec<PolledServer> {
    let own_data_centre_id = &context.settings.data_centre_id;
    let routing = context.tables.lock_routing();
    let local = routing.servers().filter(|server| server.data_centre_id == *own_data_centre_id);
    let polled = local.map(|server| PolledServer {
        server_id: server.server_id.clone(),
        address: server.address.clone(),
        has_models: !server.model_ids.is_empty(),
    });
    polled.collect()
}

/// Returns the servers to poll in a round, in round-robin order.
fn select_for_round(
    servers: &[PolledServer],
    round: usize,
    count: usize,
) -> impl Iterator<Item = PolledServer> {
    let count = count.min(servers.len());
    (0..count).map(move |step| servers[(round * count + step) % servers.len()].clone())
}

/// Sends a request and decodes the response; `None` when its body is not of the expected type.
async fn read_json<T: serde::de::DeserializeOwned>(
    context: &RouterContext,
    url: String,
) -> Result<Option<T>, HttpRequestError> {
    let http_request = HttpRequest {
        method: Method::GET,
        url,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: REPORT_TIMEOUT,
    };
    let response = send_http_request(&context.backends, http_request).await?;
    Ok(serde_json::from_slice(&response.body).ok())
}
