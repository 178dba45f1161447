//! Reads the ledger stream and applies its changes to the shards of this VM.

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

/// The maximum number of records in one read.
const MAX_PAGE_RECORDS: usize = 500;
/// How long a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// How long [`refresh_ledger`] may take, which a request waits for before it is refused.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);
/// The delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the ledger until the process stops.
pub async fn follow_ledger(context: Arc<RouterContext>) {
    while !context.cancel.is_cancelled() {
        let from_offset = context.tables.lock_ledger().ledger.next_offset;
        let range = ReadRange { from_offset, max_count: MAX_PAGE_RECORDS, wait: READ_WAIT };
        let result = match read_stream(&context, LEDGER_STREAM, range).await {
            Ok(page) => apply_page(&context, &page).map_err(|error| error.to_string()),
            Err(ReadError::Trimmed { earliest_offset }) => {
                Err(format!("ledger was trimmed up to {earliest_offset}"))
            }
            Err(error) => Err(error.to_string()),
        };
        if let Err(reason) = result {
            log::warn!("failed to read the ledger: {reason}");
            tokio::time::sleep(READ_RETRY_DELAY).await;
        }
    }
}

/// Reads the next records of the ledger without waiting for new ones; false when the log does not
/// respond in time or a record is invalid. The result of a recent read is returned again.
pub async fn refresh_ledger(context: &RouterContext) -> bool {
    if let Some(is_read) = context.shard_locks.recent_refresh() {
        return is_read;
    }
    let from_offset = context.tables.lock_ledger().ledger.next_offset;
    let range = ReadRange { from_offset, max_count: MAX_PAGE_RECORDS, wait: Duration::ZERO };
    let read = timeout(REFRESH_TIMEOUT, context.platform.read(LEDGER_STREAM, range)).await;
    let is_read = match read {
        Ok(Ok(page)) => apply_page(context, &page).is_ok(),
        _ => false,
    };
    context.shard_locks.record_refresh(is_read);
    is_read
}

fn apply_page(context: &RouterContext, page: &RecordPage) -> Result<(), LedgerRecordError> {
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
