//! Follows the ledger stream and lets the shards of this VM take up its changes.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::core::router_context::RouterContext;
use crate::ops::read_stream::read_stream;
use sassafrashoist_core::budgets::ledger::LedgerChange;
use sassafrashoist_core::budgets::record::{LedgerRecord, LedgerRecordError};
use sassafrashoist_platform::log_client::{ReadError, ReadRange};
use sassafrashoist_platform::streams::LEDGER_STREAM;
use sassafrashoist_platform::wire::{LogRecord, RecordPage};

/// Records read at once.
const PAGE_COUNT: usize = 500;
/// How long a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// How long a read before a refusal may take.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time before a failed read is tried again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Follows the ledger until the process stops.
pub async fn follow_ledger(context: Arc<RouterContext>) {
    while !context.cancel.is_cancelled() {
        let from_offset = context.tables.lock_ledger().ledger.next_offset;
        let range = ReadRange { from_offset, max_count: PAGE_COUNT, wait: READ_WAIT };
        let result = match read_stream(&context, LEDGER_STREAM, range).await {
            Ok(page) => fold_page(&context, &page).map_err(|error| error.to_string()),
            Err(ReadError::Trimmed { earliest_offset }) => {
                Err(format!("ledger was trimmed up to {earliest_offset}"))
            }
            Err(error) => Err(error.to_string()),
        };
        if let Err(reason) = result {
            log::warn!("failed to follow the ledger: {reason}");
            tokio::time::sleep(READ_RETRY_DELAY).await;
        }
    }
}

/// Reads the ledger to its end at once; false when the log does not answer in time.
pub async fn refresh_ledger(context: &RouterContext) -> bool {
    if let Some(is_read) = context.shard_locks.recent_refresh() {
        return is_read;
    }
    let from_offset = context.tables.lock_ledger().ledger.next_offset;
    let range = ReadRange { from_offset, max_count: PAGE_COUNT, wait: Duration::ZERO };
    let read = timeout(REFRESH_TIMEOUT, context.platform.read(LEDGER_STREAM, range)).await;
    let is_read = match read {
        Ok(Ok(page)) => fold_page(context, &page).is_ok(),
        _ => false,
    };
    context.shard_locks.record_refresh(is_read);
    is_read
}

fn fold_page(context: &RouterContext, page: &RecordPage) -> Result<(), LedgerRecordError> {
    for record in &page.records {
        let decoded = decode_record(record)?;
        let mut table = context.tables.lock_ledger();
        let changes = table.ledger.apply(record.offset, &decoded)?;
        let mut owner = context.tables.lock_owner();
        for change in &changes {
            owner.apply_ledger_change(&table.ledger, change);
            if matches!(change, LedgerChange::ToppedUp(_)) {
                context.shard_locks.maintenance_needed.notify_one();
            }
        }
    }
    let mut table = context.tables.lock_ledger();
    if table.ledger.next_offset >= page.end_offset {
        table.is_caught_up = true;
    }
    Ok(())
}

fn decode_record(record: &LogRecord) -> Result<LedgerRecord, LedgerRecordError> {
    serde_json::from_slice(&record.payload)
        .map_err(|error| LedgerRecordError::Undecodable(error.to_string()))
}
