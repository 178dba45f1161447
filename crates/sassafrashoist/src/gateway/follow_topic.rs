//! Follows a topic of the log service from any state.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::log_answers::{KeyedRecord, LogError};
use sassafrashoist_core::ids::LogOffset;

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
    let mut next: Option<LogOffset> = None;
    let mut reach = TopicReach::new(topic);
    loop {
        match read_news(&mut link, topic, &mut next).await {
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
    link: &mut LogLink,
    topic: &str,
    next: &mut Option<LogOffset>,
) -> Result<TopicNews, LogCallError> {
    let Some(from) = *next else {
        let page = link.newest(topic).await?;
        *next = Some(page.end);
        return Ok(TopicNews::All(page.records));
    };
    match link.read(topic, from, READ_WAIT).await {
        Ok(batch) => {
            *next = Some(batch.next);
            Ok(TopicNews::Appended(batch.records))
        }
        Err(error) => {
            if matches!(error, LogCallError::Answered(LogError::Trimmed(_))) {
                *next = None;
            }
            Err(error)
        }
    }
}
