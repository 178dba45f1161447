//! Reads the origins of streams from the log, for streams whose origin no VM knows.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::log_calls::ORIGINS_TOPIC;
use sassafrashoist_adapter::log_responses::{LogError, RecordBatch};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::origin_batch::{OriginBatch, StoredStreamKey};
use sassafrashoist_core::gateway::stored_origins::{StoredOrigin, StoredOrigins};
use sassafrashoist_core::ids::LogOffset;

use super::gateway_context::GatewayContext;
use super::log_client::{LogCallError, LogClient};

/// How long a request waits for the origins; the next one goes on where it was left.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The origins, as far as they were read, and the last time that they were.
#[derive(Debug, Default)]
pub struct StoredOriginReads {
    origins: StoredOrigins,
    next: LogOffset,
    era: Option<u64>,
    /// When the last read began, and whether it reached the end of the topic.
    last: Option<(Uptime, bool)>,
}

impl StoredOriginReads {
    fn add(&mut self, batch: RecordBatch, now: Uptime) {
        for record in batch.records {
            let Some(value) = record.value else {
                continue;
            };
            match postcard::from_bytes::<OriginBatch>(&value) {
                Ok(origins) => self.origins.add(origins, now),
                Err(error) => log::warn!(
                    offset = record.offset, run = record.key, error:% = error;
                    "origins of streams in the log cannot be decoded"
                ),
            }
        }
        self.next = batch.next;
    }

    /// Reads the topic from its first record again if the log service has lost records: the offsets
    /// may name others now.
    fn record_era(&mut self, era: Option<u64>) {
        let Some(era) = era else {
            return;
        };
        if self.era.replace(era).is_some_and(|earlier| earlier != era) {
            self.next = 0;
        }
    }
}

/// Reads the origins up to now, and returns that of a stream if the log has it.
///
/// # Errors
///
/// Fails if the topic cannot be read to its end.
pub async fn read_stored_origin(
    context: &Arc<GatewayContext>,
    key: StoredStreamKey,
) -> Result<Option<StoredOrigin>, OriginsOutOfReach> {
    let asked_at = context.now();
    let mut reads = context.stored_origins.lock().await;
    let is_read = match reads.last {
        Some((begun_at, is_read)) if begun_at >= asked_at => is_read,
        _ => {
            let begun_at = context.now();
            let read = read_to_end(context, &mut reads);
            let is_read = tokio::time::timeout(READ_TIMEOUT, read).await == Ok(Some(()));
            reads.last = Some((begun_at, is_read));
            is_read
        }
    };
    if is_read { Ok(reads.origins.find(key)) } else { Err(OriginsOutOfReach) }
}

/// The error when the origins of streams cannot be read from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("origins of streams in the log are out of reach")]
pub struct OriginsOutOfReach;

async fn read_to_end(context: &Arc<GatewayContext>, reads: &mut StoredOriginReads) -> Option<()> {
    let mut client = LogClient::new(Arc::clone(context));
    loop {
        let from = reads.next;
        let read = client.read(ORIGINS_TOPIC, from, Duration::ZERO).await;
        reads.record_era(client.era());
        if reads.next != from {
            continue;
        }
        match read {
            Ok(batch) => {
                let (next, end) = (batch.next, batch.end);
                reads.add(batch, context.now());
                if next >= end {
                    return Some(());
                }
                if next == from {
                    log::info!(topic = ORIGINS_TOPIC, from = from, end = end; "topic not read to its end");
                    return None;
                }
            }
            Err(LogCallError::Response(LogError::Trimmed(start))) if start != from => {
                reads.next = start;
            }
            Err(error) => {
                log::info!(topic = ORIGINS_TOPIC, from = from, error:% = error; "origins of streams not read");
                return None;
            }
        }
    }
}
