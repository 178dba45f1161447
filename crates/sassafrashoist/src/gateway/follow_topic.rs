//! Follows a topic of the log service from any state.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::log_answers::{KeyedRecord, LogError};
use sassafrashoist_core::gateway::topic_cursor::{NextRead, TopicCursor};

use super::gateway_context::GatewayContext;
use super::log_link::{LogCallError, LogLink};
use super::topic_reach::TopicReach;

/// How long a read waits for a record; bounds how late a silent connection is noticed.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What was read from a topic.
#[derive(Debug)]
pub enum TopicNews {
    /// The newest records of all keys.
    All(Vec<KeyedRecord>),
    /// The records that were appended since.
    Appended(Vec<KeyedRecord>),
}

/// Follows a topic until cancelled; `pace` is the least time between two reads that bring records.
pub async fn follow_topic(
    context: Arc<GatewayContext>,
    topic: &'static str,
    pace: Duration,
    mut take: impl FnMut(&GatewayContext, TopicNews),
) {
    let mut link = LogLink::new(Arc::clone(&context));
    let mut cursor = TopicCursor::default();
    let mut reach = TopicReach::new(topic);
    loop {
        match read_news(&context, &mut link, topic, &mut cursor).await {
            Ok(news) => {
                reach.record_success();
                let is_empty = matches!(&news, TopicNews::Appended(records) if records.is_empty());
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

async fn read_news(
    context: &GatewayContext,
    link: &mut LogLink,
    topic: &str,
    cursor: &mut TopicCursor,
) -> Result<TopicNews, LogCallError> {
    let NextRead::From(from) = cursor.next_read(context.now()) else {
        let page = link.newest(topic).await?;
        cursor.record_newest(page.end, context.now());
        return Ok(TopicNews::All(page.records));
    };
    match link.read(topic, from, READ_WAIT).await {
        Ok(batch) => {
            cursor.record_read(batch.next, batch.end, context.now());
            Ok(TopicNews::Appended(batch.records))
        }
        Err(error) => {
            if matches!(error, LogCallError::Answered(LogError::Trimmed(_))) {
                cursor.record_trimmed();
            }
            Err(error)
        }
    }
}
