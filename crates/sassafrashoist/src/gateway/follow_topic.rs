//! Reads a topic of the log service continuously.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_core::requests::backoff::retry_delay;

use super::gateway_context::GatewayContext;
use super::topic_connectivity::TopicConnectivity;
use super::topic_reader::{TopicReader, TopicUpdate};

/// How long a read waits for a record; bounds how late an unresponsive connection is detected.
pub const READ_WAIT: Duration = Duration::from_millis(1_000);

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
                connectivity.record_success(context.now());
                let is_empty =
                    matches!(&update, TopicUpdate::Appended { records, .. } if records.is_empty());
                apply(&context, update);
                if !is_empty {
                    tokio::time::sleep(min_interval).await;
                }
            }
            Err(error) => {
                let failure_count = connectivity.record_failure(&error, context.now());
                tokio::time::sleep(retry_delay(rand::random(), topic, failure_count)).await;
            }
        }
    }
}
