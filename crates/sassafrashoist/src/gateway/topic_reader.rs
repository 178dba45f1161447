//! Reads a topic of the log service from any state.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::log_responses::{KeyedRecord, LogError};
use sassafrashoist_core::gateway::topic_cursor::{NextRead, TopicCursor};
use sassafrashoist_core::ids::LogOffset;

use super::gateway_context::GatewayContext;
use super::log_link::{LogCallError, LogLink};

/// What was read from a topic.
#[derive(Debug)]
pub enum TopicNews {
    /// The newest records of all keys.
    All {
        /// The records.
        records: Vec<KeyedRecord>,
        /// Where the topic ended.
        end: LogOffset,
    },
    /// The records that were appended since.
    Appended {
        /// The records.
        records: Vec<KeyedRecord>,
        /// The offset after the last one.
        next: LogOffset,
        /// Whether no more are there.
        is_at_end: bool,
    },
}

/// Reads a topic of the log service from any state.
#[derive(Debug)]
pub struct TopicReader {
    /// The connection to the log service, for other calls between two reads.
    pub link: LogLink,
    context: Arc<GatewayContext>,
    topic: &'static str,
    cursor: TopicCursor,
}

impl TopicReader {
    /// Creates a reader of a topic of which nothing is known.
    pub fn new(context: Arc<GatewayContext>, topic: &'static str) -> Self {
        let link = LogLink::new(Arc::clone(&context));
        Self { link, context, topic, cursor: TopicCursor::default() }
    }

    /// Records that this VM itself appended up to `end`.
    pub fn skip_to(&mut self, end: LogOffset) {
        self.cursor.skip_to(end);
    }

    /// Reads what is new; waits for a record up to `wait`.
    ///
    /// # Errors
    ///
    /// Fails when a call fails; the next read goes on from there.
    pub async fn read_news(&mut self, wait: Duration) -> Result<TopicNews, LogCallError> {
        let NextRead::From(from) = self.cursor.next_read(self.context.now()) else {
            let page = self.link.newest(self.topic).await?;
            self.cursor.record_newest(page.end, self.context.now());
            return Ok(TopicNews::All { records: page.records, end: page.end });
        };
        match self.link.read(self.topic, from, wait).await {
            Ok(batch) => {
                self.cursor.record_read(batch.next, batch.end, self.context.now());
                let is_at_end = batch.next >= batch.end;
                Ok(TopicNews::Appended { records: batch.records, next: batch.next, is_at_end })
            }
            Err(error) => {
                if matches!(error, LogCallError::Answered(LogError::Trimmed(_))) {
                    self.cursor.record_trimmed();
                }
                Err(error)
            }
        }
    }
}
