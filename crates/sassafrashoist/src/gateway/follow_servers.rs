//! Keeps the directory of backend servers up to date.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::log_responses::KeyedRecord;
use sassafrashoist_adapter::server_entry::{
    SERVERS_TOPIC, decode_server_entry, decode_warm_up_left,
};
use sassafrashoist_core::gateway::odd_entries::OddEntries;

use super::follow_topic::follow_topic;
use super::gateway_context::GatewayContext;
use super::topic_reader::TopicUpdate;

/// Minimum time between two reads that return entries: servers write often, and this delay of an
/// entry does no harm.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Reads and applies the server list until cancelled.
pub async fn follow_servers(context: Arc<GatewayContext>) {
    let mut odd_entries = OddEntries::default();
    let at_once = || std::future::ready(());
    follow_topic(
        context,
        SERVERS_TOPIC,
        MIN_READ_INTERVAL,
        at_once,
        |context, update| match update {
            TopicUpdate::Snapshot { records, end, known_at, .. } => {
                let listed: Vec<_> = records
                    .iter()
                    .filter(|record| apply_entry(context, record, &mut odd_entries))
                    .map(|record| record.key.clone())
                    .collect();
                let mut servers = context.lock_servers();
                servers.mark_unlisted_except(&listed, context.now());
                servers.pool_versions.record_newest_read(known_at);
                servers.pool_versions.record_position(Some(end));
                drop(servers);
                context.lock_paths().retain(|id| listed.iter().any(|listed_id| listed_id == id));
                context.mark_servers_listed();
                log::info!(listed = listed.len(); "server list read");
            }
            TopicUpdate::Appended { records, next, is_at_end, known_at, .. } => {
                for record in &records {
                    apply_entry(context, record, &mut odd_entries);
                }
                let mut servers = context.lock_servers();
                if is_at_end {
                    servers.pool_versions.record_read(known_at);
                }
                servers.pool_versions.record_position(is_at_end.then_some(next));
            }
        },
    )
    .await;
}

/// Applies an entry; returns whether it names a server to use.
fn apply_entry(
    context: &GatewayContext,
    record: &KeyedRecord,
    odd_entries: &mut OddEntries,
) -> bool {
    let server_id = record.key.as_str();
    let Some(value) = &record.value else {
        remove_server(context, record);
        return false;
    };
    match decode_server_entry(server_id, value) {
        Ok(listing) => {
            let (pool, is_draining) = (listing.pool_id.clone(), listing.is_draining);
            let version = listing.software_version.clone();
            let left = decode_warm_up_left(value).unwrap_or_else(|error| {
                if let Some(unlogged) = odd_entries.record(server_id, record.offset, context.now())
                {
                    log::warn!(
                        server = server_id, offset = record.offset, unlogged = unlogged,
                        error:% = error;
                        "time until a server is warm cannot be decoded; it counts as warm"
                    );
                }
                Duration::ZERO
            });
            let was_list_read = context.is_server_list_read();
            let now = context.now();
            let (is_changed, is_newly_cold, cold_for) = {
                let mut servers = context.lock_servers();
                let is_changed = servers.add_or_update(listing, now);
                let is_newly_cold = servers.record_warm_up(server_id, left, was_list_read, now);
                let cold_for = servers.server(server_id).map(|server| server.warm_up_left(now));
                (is_changed, is_newly_cold, cold_for.unwrap_or_default())
            };
            if is_newly_cold {
                metrics::counter!("sassafrashoist_cold_servers_total").increment(1);
                log::info!(
                    server = server_id, pool = pool, cold_for_ms = cold_for.as_millis() as u64,
                    stated_ms = left.as_millis() as u64, offset = record.offset;
                    "server is cold"
                );
            }
            if is_changed {
                log::info!(
                    server = server_id, pool = pool, version = version, draining = is_draining,
                    offset = record.offset;
                    "server listed"
                );
            }
            true
        }
        Err(error) => {
            if let Some(unlogged) = odd_entries.record(server_id, record.offset, context.now()) {
                log::warn!(
                    server = server_id, offset = record.offset, unlogged = unlogged,
                    error:% = error;
                    "server entry cannot be decoded; it names no server to use"
                );
            }
            remove_server(context, record);
            false
        }
    }
}

fn remove_server(context: &GatewayContext, record: &KeyedRecord) {
    let server_id = record.key.as_str();
    if context.lock_servers().mark_unlisted(server_id, context.now()) {
        log::info!(server = server_id, offset = record.offset; "server left the list");
        context.lock_paths().retain(|id| id != server_id);
    }
}
