//! Reads the ledger stream and applies its records in the same way as the VMs.

use std::time::Duration;

use eyre::{Result, WrapErr};

use crate::core::ctl_context::CtlContext;
use sassafrashoist_core::budgets::ledger::Ledger;
use sassafrashoist_core::budgets::record::LedgerRecord;
use sassafrashoist_platform::log_client::ReadRange;
use sassafrashoist_platform::streams::LEDGER_STREAM;

/// The maximum number of records read at once.
const PAGE_RECORDS: usize = 500;

/// Reads the ledger to its end.
///
/// # Errors
///
/// Fails when the ledger stream cannot be read, or a record cannot be decoded or applied.
pub async fn read_ledger(context: &CtlContext) -> Result<Ledger> {
    let mut ledger = Ledger::default();
    loop {
        let from_offset = ledger.next_offset;
        let range = ReadRange { from_offset, max_count: PAGE_RECORDS, wait: Duration::ZERO };
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
                .wrap_err_with(|| format!("failed to apply ledger record {}", record.offset))?;
        }
    }
}
