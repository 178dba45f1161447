//! Reads the bundle stream and activates accepted bundles.

use std::sync::Arc;
use std::time::Duration;

use crate::core::router_context::RouterContext;
use crate::ops::activate_bundle::{apply_bundle_record, skip_bundle_record};
use crate::ops::read_stream::read_stream;
use sassafrashoist_bundle::bundle_record::BundleRecord;
use sassafrashoist_platform::log_client::{ReadError, ReadRange};
use sassafrashoist_platform::streams::BUNDLE_STREAM;
use sassafrashoist_platform::wire::LogRecord;

/// The maximum number of records in one read.
const MAX_PAGE_RECORDS: usize = 50;
/// How long a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// The delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the bundle stream until the process stops.
pub async fn follow_bundles(context: Arc<RouterContext>) {
    while !context.cancel.is_cancelled() {
        let from_offset = context.tables.lock_bundle_chain().next_offset();
        let range = ReadRange { from_offset, max_count: MAX_PAGE_RECORDS, wait: READ_WAIT };
        match read_stream(&context, BUNDLE_STREAM, range).await {
            Ok(page) => page.records.iter().for_each(|record| apply_record(&context, record)),
            Err(ReadError::Trimmed { earliest_offset }) => {
                log::warn!("bundle records from {from_offset} to {earliest_offset} were trimmed");
                context.tables.lock_bundle_chain().skip_to(earliest_offset);
            }
            Err(error) => {
                log::warn!("failed to read the bundle stream: {error}");
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

fn apply_record(context: &RouterContext, record: &LogRecord) {
    match BundleRecord::decode(&record.payload) {
        Ok(event) => apply_bundle_record(context, record.offset, event),
        Err(error) => skip_bundle_record(context, record.offset, &error.to_string()),
    }
}
