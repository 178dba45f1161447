//! Applies the newest fleet configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sassafrashoist_adapter::fleet_config_document::{
    CONFIG_KEY, CONFIG_TOPIC, decode_fleet_config,
};
use sassafrashoist_adapter::log_responses::KeyedRecord;
use sassafrashoist_core::gateway::config_sharing::{ConfigDocument, NextLogRead, TopicEnd};
use sassafrashoist_core::gateway::document_delta::ChunkedDocument;
use sassafrashoist_core::gateway::fleet_config::FleetConfig;
use sassafrashoist_core::gateway::route_table::RouteTable;
use sassafrashoist_core::gateway::warm_up::PoolWarmUp;
use sassafrashoist_core::ids::{LogOffset, PoolId, VmId};

use super::follow_topic::{READ_WAIT, follow_topic};
use super::gateway_context::GatewayContext;
use super::share_config::{announce_config, update_role};
use super::share_evacuations::{apply_orders, orders_due_at};
use super::topic_reader::TopicUpdate;

/// Minimum time between two reads that return records; a burst of changes is then read in batches.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
/// The longest time between two decisions whether to read the log service.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Where a configuration came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource<'a> {
    /// A record in the log service.
    LogService(LogOffset),
    /// Another VM of the data centre.
    Vm(&'a VmId),
}

/// What became of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// It has come into force.
    InForce,
    /// It is not newer than the one in force.
    NotNewer,
    /// It cannot be decoded.
    Undecodable,
}

/// Reads and applies fleet configurations until cancelled, unless other VMs read them for this one.
pub async fn follow_config(context: Arc<GatewayContext>) {
    let reading = Arc::clone(&context);
    let mut is_newest_decoded = true;
    follow_topic(
        context,
        CONFIG_TOPIC,
        MIN_READ_INTERVAL,
        move || wait_until_due(Arc::clone(&reading)),
        move |context, update| {
            // Before the configuration, so that this VM serves nothing without them.
            apply_orders(context, &update);
            let end = end_of(&update);
            let (TopicUpdate::Snapshot { records, known_at: read_at, .. }
            | TopicUpdate::Appended { records, known_at: read_at, .. }) = update;
            let newest = records.iter().rfind(|record| record.key == CONFIG_KEY);
            let applied = newest.and_then(|record| apply_record(context, record));
            if let Some(applied) = applied {
                is_newest_decoded = applied != Applied::Undecodable;
            }
            if !is_newest_decoded && end != TopicEnd::NotReached {
                context.record_config_checked(read_at);
            }
            let end = if is_newest_decoded { end } else { TopicEnd::NotReached };
            let known_at = context.lock_config_sharing().record_log_read(end, context.now());
            if let Some(known_at) = known_at {
                context.record_config_confirmed(known_at);
            }
            if known_at.is_some() || applied == Some(Applied::InForce) {
                announce_config(context);
            }
        },
    )
    .await;
}

/// Waits until this VM is to read the log service.
async fn wait_until_due(context: Arc<GatewayContext>) {
    loop {
        update_role(&context);
        let now = context.now();
        let orders_due_at = orders_due_at(&context);
        let next = {
            let mut sharing = context.lock_config_sharing();
            sharing.require_log_read_by(orders_due_at);
            sharing.next_log_read(rand::random(), now)
        };
        let NextLogRead::NotBefore(at) = next else {
            context.lock_config_sharing().begin_log_read(now);
            return;
        };
        tokio::time::sleep_until(context.instant(at.min(now + MAX_WAIT))).await;
    }
}

fn end_of(update: &TopicUpdate) -> TopicEnd {
    match update {
        TopicUpdate::Snapshot { .. } => TopicEnd::Reached,
        TopicUpdate::Appended { is_at_end: false, .. } => TopicEnd::NotReached,
        TopicUpdate::Appended { records, .. } if records.is_empty() => {
            TopicEnd::ReachedAfter(READ_WAIT)
        }
        TopicUpdate::Appended { .. } => TopicEnd::Reached,
    }
}

fn apply_record(context: &GatewayContext, record: &KeyedRecord) -> Option<Applied> {
    let Some(value) = &record.value else {
        log::warn!(offset = record.offset; "configuration deleted; keeping the active one");
        return None;
    };
    // A copy, because the record is a part of a whole response.
    let content = ChunkedDocument::new(Bytes::copy_from_slice(value));
    Some(apply_config(context, content, ConfigSource::LogService(record.offset)))
}

/// Returns how the servers of the pools warm up that have a rate for cold servers.
fn planned_warm_ups(
    context: &GatewayContext,
    config: &FleetConfig,
) -> BTreeMap<PoolId, PoolWarmUp> {
    let bounds = context.settings().bounds.warm_up;
    for pool in config.pools.iter().filter(|pool| pool.is_warm_up_malformed).take(1) {
        log::warn!(
            pool = pool.id, version = config.version;
            "warm-up of a pool cannot be read; its servers are never cold"
        );
    }
    let pools = config.pools.iter();
    let warm_ups = pools.filter_map(|pool| Some((pool.id.clone(), pool.warm_up?.planned(bounds))));
    warm_ups.collect()
}

/// Puts a configuration into force if it is newer than the active one.
pub fn apply_config(
    context: &GatewayContext,
    content: ChunkedDocument,
    source: ConfigSource<'_>,
) -> Applied {
    let (from, offset) = match source {
        ConfigSource::LogService(offset) => ("log service", Some(offset)),
        ConfigSource::Vm(vm_id) => (vm_id.as_str(), None),
    };
    let config = match decode_fleet_config(content.bytes()) {
        Ok(config) => config,
        Err(error) => {
            log::error!(
                from = from, offset:? = offset, error:% = error;
                "configuration cannot be decoded; keeping the active one"
            );
            return Applied::Undecodable;
        }
    };
    let (version, route_count) = (config.version, config.routes.len());
    let (unconfirmed_time, heard_time) = {
        let (now, age) = (context.now(), context.lock_config_age());
        (age.unconfirmed_time(now), age.heard_time(now))
    };
    let table = Arc::new(RouteTable::new(config));
    let warm_ups = planned_warm_ups(context, table.config());
    if !context.replace_routes(&table) {
        log::info!(version = version, from = from; "configuration is not newer than the active one");
        return Applied::NotNewer;
    }
    context.lock_servers().set_warm_ups(warm_ups);
    let document = Arc::new(ConfigDocument { version, content });
    let newest_at = {
        let mut sharing = context.lock_config_sharing();
        sharing.record_in_force(document);
        sharing.newest_by_announcements()
    };
    if let Some(newest_at) = newest_at {
        context.record_config_confirmed(newest_at);
    }
    log::info!(
        version = version, routes = route_count, from = from, offset = offset,
        unconfirmed_ms = unconfirmed_time.map(|time| time.as_millis() as u64),
        heard_ms_ago = heard_time.map(|time| time.as_millis() as u64);
        "configuration in force"
    );
    let mut tokens = context.lock_tokens();
    let book = &mut *tokens;
    book.holding.freeze_excess_tokens(&book.ledger, table.config());
    drop(tokens);
    context.ledger_wakeup.notify_one();
    Applied::InForce
}
