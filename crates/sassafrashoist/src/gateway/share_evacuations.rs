//! Reads the orders to evacuate data centres, and exchanges them with the other VMs of the data centre
//! behind announcements of the configuration.
//!
//! The orders follow the announcement in its datagram, because older builds ignore what follows a
//! datagram that they know. Orders that do not fit into the datagram are left out; then every VM reads
//! them from the log service.

use std::time::Duration;

use sassafrashoist_adapter::log_responses::KeyedRecord;
use sassafrashoist_adapter::operator_orders::decode_order;
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::config_times::ConfigTimes;
use sassafrashoist_core::gateway::evacuations::{OrderChanges, OrdersAnnouncement, OrdersPosition};

use super::follow_topic::READ_WAIT;
use super::gateway_context::GatewayContext;
use super::peer_datagram::MAX_DATAGRAM_BYTES;
use super::topic_reader::TopicUpdate;

/// Applies the orders in a read of the topic.
pub fn apply_orders(context: &GatewayContext, update: &TopicUpdate) {
    let decode = |record: &KeyedRecord| {
        let order = decode_order(&record.key, record.value.as_deref())?;
        Some((record.offset, order))
    };
    let times = times(context);
    let mut servers = context.lock_servers();
    let orders = &mut servers.evacuations;
    let (changes, confirmed_at) = match update {
        TopicUpdate::Snapshot { records, end, known_at, era } => {
            let newest = records.iter().filter_map(decode);
            let newest = newest.filter_map(|(_, order)| Some((order.data_centre_id, order.state?)));
            let position = OrdersPosition { era: *era, end: *end };
            (orders.record_snapshot(position, newest), Some(*known_at))
        }
        TopicUpdate::Appended { records, next, is_at_end, known_at, era } => {
            let position = OrdersPosition { era: *era, end: *next };
            let changes = orders.record_appended(position, records.iter().filter_map(decode));
            (changes, is_at_end.then_some(*known_at))
        }
    };
    let known_before = orders.known_at();
    if let Some(at) = confirmed_at {
        orders.record_confirmed(at, &times, rand::random());
    }
    drop(servers);
    log_changes(context, &changes, "log service", known_before);
}

/// Appends the orders to a datagram that announces the configuration.
pub fn append_orders(context: &GatewayContext, datagram: &mut Vec<u8>) {
    let Some(announcement) = context.lock_servers().evacuations.announcement(context.now()) else {
        return;
    };
    match postcard::to_stdvec(&announcement) {
        Ok(orders) if datagram.len() + orders.len() <= MAX_DATAGRAM_BYTES => {
            datagram.extend(orders);
        }
        Ok(orders) => {
            if let Some(unlogged) = context.record_order_line() {
                log::warn!(
                    bytes = orders.len(), orders = announcement.orders.len(), unlogged = unlogged;
                    "evacuation orders too long for a datagram; every VM reads them from the log service"
                );
            }
        }
        Err(error) => log::error!(error:% = error; "failed to encode evacuation orders"),
    }
}

/// Receives the orders that follow the announcement of another VM of the data centre; `bytes` is empty
/// if it has an older build.
pub fn receive_orders(context: &GatewayContext, bytes: &[u8], vm_id: &str) {
    if bytes.is_empty() {
        return;
    }
    let announced: OrdersAnnouncement = match postcard::from_bytes(bytes) {
        Ok(announced) => announced,
        Err(error) => {
            if let Some(unlogged) = context.record_order_line() {
                log::warn!(
                    vm = vm_id, error:% = error, unlogged = unlogged;
                    "malformed evacuation orders of another VM"
                );
            }
            return;
        }
    };
    // A datagram that waited in this VM looks as if it had been sent now.
    let known_ago = Duration::from_millis(announced.known_ago_ms) + context.longest_datagram_wait();
    let known_at = context.now().saturating_sub(known_ago);
    let times = times(context);
    let mut servers = context.lock_servers();
    let known_before = servers.evacuations.known_at();
    let changes = servers.evacuations.hear(announced, known_at, &times, rand::random());
    drop(servers);
    log_changes(context, &changes, vm_id, known_before);
}

/// Returns when this VM must read the topic, because its orders may be old.
pub fn orders_due_at(context: &GatewayContext) -> Uptime {
    context.lock_servers().evacuations.read_due_at()
}

fn times(context: &GatewayContext) -> ConfigTimes {
    ConfigTimes::new(context.settings().bounds.evacuation_time.saturating_sub(READ_WAIT / 2))
}

fn log_changes(
    context: &GatewayContext,
    changes: &OrderChanges,
    from: &str,
    known_before: Option<Uptime>,
) {
    if *changes == OrderChanges::default() {
        return;
    }
    let known_ms_ago = known_before.map(|at| context.now().saturating_sub(at).as_millis() as u64);
    for data_centre in &changes.evacuated {
        log::info!(
            data_centre = data_centre, from = from, known_ms_ago = known_ms_ago;
            "data centre evacuated"
        );
        if context.is_server_list_read()
            && !context.lock_servers().has_servers_in(data_centre)
            && let Some(unlogged) = context.record_order_line()
        {
            log::warn!(
                data_centre = data_centre, unlogged = unlogged;
                "evacuation order names a data centre without servers"
            );
        }
    }
    for data_centre in &changes.revoked {
        log::info!(
            data_centre = data_centre, from = from, known_ms_ago = known_ms_ago;
            "evacuation of a data centre revoked"
        );
    }
    if let Some(data_centre) = changes.unreadable.first()
        && let Some(unlogged) = context.record_order_line()
    {
        log::warn!(
            data_centre = data_centre, unlogged = unlogged;
            "evacuation order cannot be read; it has no effect"
        );
    }
    let evacuated_count = context.lock_servers().evacuations.evacuated().count();
    metrics::gauge!("sassafrashoist_evacuated_data_centres").set(evacuated_count as f64);
}
