//! Reads a topic of the log service continuously.

use std::sync::Arc;
use std::time::Duration;

use super::gateway_context::GatewayContext;
use super::topic_connectivity::TopicConnectivity;
use super::topic_reader::{TopicReader, TopicUpdate};

/// How long a read waits for a record; bounds how late an unresponsive connection is detected.
pub const READ_WAIT: Duration = Duration::from_millis(1_000);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Reads a topic until cancelled and passes each update to `apply`; `min_interval` is the delay
/// after a read that returned records. Each read begins after the result of `before_read`.
pub async fn follow_topic<W: Future<Output = ()>>(
    context: Arc<GatewayContext>,
    topic: &'static str,
    min_interval: Duration,
    mut before_read: impl FnMut() -> W,
    mut apply: impl FnMut(&GatewayContext, TopicUpdate),
) {
    let mut reader = TopicReader::new(Arc::clone(&context), topic);
    let mut connectivity = TopicConnectivity::new(topic);
    loop {
        before_read().await;
        match reader.read_update(READ_WAIT).await {
            Ok(update) => {
                connectivity.record_success();
                let is_empty =
                    matches!(&update, TopicUpdate::Appended { records, .. } if records.is_empty());
                apply(&context, update);
                if !is_empty {
                    tokio::time::sleep(min_interval).await;
                }
            }
            Err(error) => {
                connectivity.record_failure(&error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
