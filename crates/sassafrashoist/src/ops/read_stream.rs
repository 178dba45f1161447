//! Reads records of a log stream for the followers of this process.

use crate::core::router_context::RouterContext;
use sassafrashoist_platform::log_client::{ReadError, ReadRange};
use sassafrashoist_platform::wire::RecordPage;

/// Reads records of a stream from the platform's log.
///
/// # Errors
///
/// Fails when the offset was trimmed or the log is out of reach.
pub async fn read_stream(
    context: &RouterContext,
    stream: &str,
    range: ReadRange,
) -> Result<RecordPage, ReadError> {
    context.platform.read(stream, range).await
}
