//! Applies the newest fleet configuration.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::fleet_config_document::{
    CONFIG_KEY, CONFIG_TOPIC, decode_fleet_config,
};
use sassafrashoist_adapter::log_responses::KeyedRecord;
use sassafrashoist_core::gateway::route_table::RouteTable;

use super::follow_topic::follow_topic;
use super::gateway_context::GatewayContext;
use super::topic_reader::TopicUpdate;

/// Minimum time between two reads that return records; a burst of changes is then read in batches.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);

/// Reads and applies fleet configurations until cancelled.
pub async fn follow_config(context: Arc<GatewayContext>) {
    let mut read_after = context.now();
    follow_topic(context, CONFIG_TOPIC, MIN_READ_INTERVAL, move |context, update| {
        // A snapshot shows the topic as it was when the read began, and may take long to arrive.
        let last_update_at = std::mem::replace(&mut read_after, context.now());
        let confirmed_at = match &update {
            TopicUpdate::Snapshot { .. } => Some(last_update_at),
            TopicUpdate::Appended { is_at_end, .. } => is_at_end.then(|| context.now()),
        };
        let (TopicUpdate::Snapshot { records, .. } | TopicUpdate::Appended { records, .. }) =
            update;
        if let Some(record) = records.iter().rfind(|record| record.key == CONFIG_KEY) {
            apply_config(context, record);
        }
        if let Some(at) = confirmed_at {
            context.lock_config_age().record_confirmed(at);
        }
    })
    .await;
}

fn apply_config(context: &GatewayContext, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        log::warn!(offset = record.offset; "configuration deleted; keeping the active one");
        return;
    };
    let config = match decode_fleet_config(value) {
        Ok(config) => config,
        Err(error) => {
            log::error!(
                offset = record.offset, error:% = error;
                "configuration cannot be decoded; keeping the active one"
            );
            return;
        }
    };
    let (version, route_count) = (config.version, config.routes.len());
    let table = Arc::new(RouteTable::new(config));
    if !context.replace_routes(&table) {
        log::info!(version = version; "configuration is not newer than the active one");
        return;
    }
    log::info!(version = version, routes = route_count, offset = record.offset; "configuration in force");
    let mut tokens = context.lock_tokens();
    let book = &mut *tokens;
    book.holding.freeze_excess_tokens(&book.ledger, table.config());
    drop(tokens);
    context.ledger_wakeup.notify_one();
}
