//! Reads backend servers' load reports and the platform's list of leaving VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::core::clock::read_clock;
use crate::core::router_context::RouterContext;
use sassafrashoist_core::routing::server_view::LoadReport;
use sassafrashoist_platform::http_client::{HttpCall, send_call};
use sassafrashoist_platform::wire::ListedState;

/// Time between two rounds of reports.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a report may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads reports until the process stops.
pub async fn poll_backends(context: Arc<RouterContext>) {
    while !context.cancel.is_cancelled() {
        poll_vm_list(&context).await;
        poll_reports(&context).await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll_vm_list(context: &RouterContext) {
    match context.platform.list_vms().await {
        Ok(vms) => {
            let now = read_clock();
            let mut routing = context.tables.lock_routing();
            for vm in vms.iter().filter(|vm| vm.state == ListedState::Leaving) {
                routing.record_leaving(&vm.id, now);
            }
        }
        Err(error) => log::debug!("VM list is out of reach: {error}"),
    }
}

async fn poll_reports(context: &RouterContext) {
    let own = &context.settings.data_centre_id;
    let servers: Vec<_> = context
        .tables
        .lock_routing()
        .servers()
        .filter(|server| server.data_centre_id == *own)
        .map(|server| (server.server_id.clone(), server.address.clone()))
        .collect();
    let polls = servers.iter().map(|(server_id, address)| async move {
        if let Some(load) = read_report(context, address).await {
            context.tables.lock_routing().record_load(server_id, load, read_clock());
        }
    });
    futures::future::join_all(polls).await;
}

async fn read_report(context: &RouterContext, address: &str) -> Option<LoadReport> {
    let call = HttpCall {
        method: Method::GET,
        url: format!("http://{address}/control/load"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: REPORT_TIMEOUT,
    };
    let answer = send_call(&context.backends, call).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}
