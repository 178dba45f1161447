//! Reads the entries of the server list that this VM has not applied yet, for a decision that must
//! not rest on an old list.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::server_entry::{SERVERS_TOPIC, decode_server_entry};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::server_listing::ServerListing;

use super::gateway_context::GatewayContext;
use super::log_client::LogClient;

/// How long a read may take, with its connection.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The last read, whose result serves all requests that waited for it.
#[derive(Debug)]
pub struct ServerListCheck {
    sent_at: Uptime,
    entries: Option<Arc<[ServerListing]>>,
}

/// Reads the entries that this VM has not applied when the call is made; `None` if the list cannot
/// be read to its end.
pub async fn read_unapplied_entries(context: &Arc<GatewayContext>) -> Option<Arc<[ServerListing]>> {
    let asked_at = context.now();
    let mut last = context.server_list_check.lock().await;
    if let Some(check) = &*last
        && check.sent_at >= asked_at
    {
        return check.entries.clone();
    }
    let sent_at = context.now();
    let entries = tokio::time::timeout(READ_TIMEOUT, read(context)).await.ok().flatten();
    *last = Some(ServerListCheck { sent_at, entries: entries.clone() });
    entries
}

async fn read(context: &Arc<GatewayContext>) -> Option<Arc<[ServerListing]>> {
    let position = context.lock_servers().pool_versions.position()?;
    // The connection of the task that follows the list may wait for the next entry.
    let mut client = LogClient::new(Arc::clone(context));
    match client.read(SERVERS_TOPIC, position, Duration::ZERO).await {
        Ok(batch) if batch.next >= batch.end && batch.end >= position => {
            let values = batch.records.iter().filter_map(|r| Some((&r.key, r.value.as_ref()?)));
            Some(values.filter_map(|(id, value)| decode_server_entry(id, value).ok()).collect())
        }
        Ok(batch) => {
            log::info!(from = position, end = batch.end; "server list not read to its end");
            None
        }
        Err(error) => {
            log::info!(error:% = error; "server list not read for a stream of unknown origin");
            None
        }
    }
}
