//! Reads the history of the server list and of the configurations, for streams whose origin no VM
//! knows.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::fleet_config_document::{
    CONFIG_KEY, CONFIG_TOPIC, decode_fleet_config,
};
use sassafrashoist_adapter::log_responses::{KeyedRecord, LogError};
use sassafrashoist_adapter::server_entry::{SERVERS_TOPIC, decode_server_entry};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::origin_history::OriginHistory;
use sassafrashoist_core::gateway::route_table::RouteTable;
use sassafrashoist_core::gateway::topic_history::TopicHistory;

use super::gateway_context::GatewayContext;
use super::log_client::{LogCallError, LogClient};

/// How long a request waits for the history; the next one goes on where it was left.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The history of the topics, as far as it was read, and the last time that it was.
#[derive(Debug, Default)]
pub struct OriginHistoryReads {
    history: OriginHistory,
    /// When the last read began, and whether it reached the ends of the topics.
    last: Option<(Uptime, bool)>,
}

/// Reads the history up to now, unless it is known to have a gap, and passes it to `decide`; `None` if
/// it cannot be read to its end.
pub async fn read_origin_history<T>(
    context: &Arc<GatewayContext>,
    decide: impl FnOnce(&OriginHistory) -> T,
) -> Option<T> {
    let asked_at = context.now();
    let mut reads = context.origin_history.lock().await;
    let is_read = match reads.last {
        Some((begun_at, is_read)) if begun_at >= asked_at => is_read,
        _ => {
            let begun_at = context.now();
            let read = read_to_end(context, &mut reads.history);
            let is_read = tokio::time::timeout(READ_TIMEOUT, read).await == Ok(Some(()));
            reads.last = Some((begun_at, is_read));
            is_read
        }
    };
    is_read.then(|| decide(&reads.history))
}

async fn read_to_end(context: &Arc<GatewayContext>, history: &mut OriginHistory) -> Option<()> {
    // The connections of the tasks that follow the topics may wait for the next record.
    let mut client = LogClient::new(Arc::clone(context));
    for topic in [SERVERS_TOPIC, CONFIG_TOPIC] {
        while !history.has_gap() && !read_batch(&mut client, history, topic).await? {}
    }
    Some(())
}

/// Reads one batch of a topic; returns whether it reached the end of the topic, or `None` if the read
/// failed.
async fn read_batch(
    client: &mut LogClient,
    history: &mut OriginHistory,
    topic: &str,
) -> Option<bool> {
    let from = topic_history(history, topic).next()?;
    let batch = match client.read(topic, from, Duration::ZERO).await {
        Ok(batch) => batch,
        Err(LogCallError::Response(LogError::Trimmed(start))) => {
            record_gap(history, topic, &format!("read from {from}, retained from {start}"));
            return Some(false);
        }
        Err(error) => {
            log::info!(topic = topic, from = from, error:% = error; "history of a topic not read");
            return None;
        }
    };
    let bytes = batch.records.iter().map(|r| r.value.as_ref().map_or(0, |value| value.len())).sum();
    for record in &batch.records {
        add_record(history, topic, record);
    }
    topic_history(history, topic).record_read(batch.next, bytes, client.era());
    if topic_history(history, topic).next().is_none() {
        record_gap(history, topic, "too long, or records were lost or cannot be decoded");
    }
    Some(batch.next >= batch.end)
}

fn add_record(history: &mut OriginHistory, topic: &str, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        return;
    };
    if topic == SERVERS_TOPIC {
        // An entry that cannot be decoded names no server, so that no stream began there.
        if let Ok(listing) = decode_server_entry(&record.key, value) {
            history.add_listing(&listing);
        }
    } else if record.key == CONFIG_KEY {
        match decode_fleet_config(value) {
            Ok(config) => history.add_config(&Arc::new(RouteTable::new(config))),
            // VMs of another build may have put it into force.
            Err(_) => history.configs.record_gap(),
        }
    }
}

fn record_gap(history: &mut OriginHistory, topic: &str, reason: &str) {
    topic_history(history, topic).record_gap();
    log::info!(topic = topic, reason = reason; "history of a topic is not known from its first record");
}

fn topic_history<'a>(history: &'a mut OriginHistory, topic: &str) -> &'a mut TopicHistory {
    if topic == SERVERS_TOPIC { &mut history.servers } else { &mut history.configs }
}
