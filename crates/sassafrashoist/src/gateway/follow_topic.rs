//! Follows a topic of the log service from any state.

use std::sync::Arc;
use std::time::Duration;

use super::gateway_context::GatewayContext;
use super::topic_reach::TopicReach;
use super::topic_reader::{TopicNews, TopicReader};

/// How long a read waits for a record; bounds how late a silent connection is noticed.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows a topic until cancelled; `pace` is the least time between two reads that bring records.
pub async fn follow_topic(
    context: Arc<GatewayContext>,
    topic: &'static str,
    pace: Duration,
    mut take: impl FnMut(&GatewayContext, TopicNews),
) {
    let mut reader = TopicReader::new(Arc::clone(&context), topic);
    let mut reach = TopicReach::new(topic);
    loop {
        match reader.read_news(READ_WAIT).await {
            Ok(news) => {
                reach.record_success();
                let is_empty =
                    matches!(&news, TopicNews::Appended { records, .. } if records.is_empty());
                take(&context, news);
                if !is_empty {
                    tokio::time::sleep(pace).await;
                }
            }
            Err(error) => {
                reach.record_failure(&error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
