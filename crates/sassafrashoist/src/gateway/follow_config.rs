//! Puts the newest configuration of the fleet in force.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::fleet_config_document::{
    CONFIG_KEY, CONFIG_TOPIC, decode_fleet_config,
};
use sassafrashoist_adapter::log_responses::KeyedRecord;
use sassafrashoist_core::gateway::route_table::RouteTable;

use super::follow_topic::follow_topic;
use super::gateway_context::GatewayContext;
use super::topic_reader::TopicNews;

/// Least time between two configurations; a storm of changes is taken in steps.
const PACE: Duration = Duration::from_millis(50);

/// Follows the configuration until cancelled.
pub async fn follow_config(context: Arc<GatewayContext>) {
    follow_topic(context, CONFIG_TOPIC, PACE, |context, news| {
        let (TopicNews::All { records, .. } | TopicNews::Appended { records, .. }) = news;
        if let Some(record) = records.iter().rfind(|record| record.key == CONFIG_KEY) {
            put_in_force(context, record);
        }
    })
    .await;
}

fn put_in_force(context: &GatewayContext, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        log::warn!(offset = record.offset; "the configuration was deleted; the last one holds");
        return;
    };
    let config = match decode_fleet_config(value) {
        Ok(config) => config,
        Err(error) => {
            log::error!(offset = record.offset, error:% = error; "configuration not taken over");
            return;
        }
    };
    let (version, route_count) = (config.version, config.routes.len());
    let table = Arc::new(RouteTable::new(config));
    if !context.replace_routes(&table) {
        log::info!(version = version; "configuration is not newer than the one in force");
        return;
    }
    log::info!(version = version, routes = route_count, offset = record.offset; "configuration in force");
    let mut tokens = context.lock_tokens();
    let book = &mut *tokens;
    book.holding.freeze_excess_tokens(&book.ledger, table.config());
    drop(tokens);
    context.tokens_wanted.notify_one();
}
