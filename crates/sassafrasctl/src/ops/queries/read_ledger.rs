//! Reads the ledger stream and folds it as every VM does.

use std::time::Duration;

use eyre::{Result, WrapErr};

use crate::core::ctl_context::CtlContext;
use sassafrashoist_core::budgets::ledger::Ledger;
use sassafrashoist_core::budgets::record::LedgerRecord;
use sassafrashoist_platform::log_client::ReadRange;
use sassafrashoist_platform::streams::LEDGER_STREAM;

/// Records read at once.
const PAGE_COUNT: usize = 500;

/// Reads the ledger to its end.
///
/// # Errors
///
/// Fails when the log does not answer or a record cannot be folded.
pub async fn read_ledger(context: &CtlContext) -> Result<Ledger> {
    let mut ledger = Ledger::default();
    loop {
        let from_offset = ledger.next_offset;
        let range = ReadRange { from_offset, max_count: PAGE_COUNT, wait: Duration::ZERO };
        let page = context
            .platform
            .read(LEDGER_STREAM, range)
            .await
            .wrap_err("failed to read the ledger")?;
        if page.records.is_empty() {
            return Ok(ledger);
        }
        for record in page.records {
            let decoded: LedgerRecord = serde_json::from_slice(&record.payload)
                .wrap_err_with(|| format!("failed to decode ledger record {}", record.offset))?;
            ledger
                .apply(record.offset, &decoded)
                .wrap_err_with(|| format!("failed to fold ledger record {}", record.offset))?;
        }
    }
}
