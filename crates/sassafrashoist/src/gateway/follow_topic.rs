//! Follows a topic of the log service from any state.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::log_answers::{KeyedRecord, LogError};
use sassafrashoist_core::ids::LogOffset;

use super::gateway_context::GatewayContext;
use super::log_link::{LogCallError, LogLink};

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
    let mut is_reached = true;
    loop {
        let result = read_news(&mut link, topic, &mut next).await;
        match result {
            Ok(news) => {
                if !is_reached {
                    log::info!(topic = topic; "log service regained");
                    is_reached = true;
                }
                let is_empty = matches!(&news, TopicNews::Appended(records) if records.is_empty());
                take(&context, news);
                if !is_empty {
                    tokio::time::sleep(pace).await;
                }
            }
            Err(error) => {
                if is_reached {
                    log::warn!(topic = topic, error:% = error; "log service lost");
                    is_reached = false;
                }
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
