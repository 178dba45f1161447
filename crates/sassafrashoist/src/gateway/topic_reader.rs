//! Reads a topic of the log service, and recovers after an outage or a trim of the topic.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::log_responses::{KeyedRecord, LogError};
use sassafrashoist_core::gateway::topic_cursor::{NextRead, TopicCursor};
use sassafrashoist_core::ids::LogOffset;

use super::gateway_context::GatewayContext;
use super::log_client::{LogCallError, LogClient};

/// The result of one read of a topic.
#[derive(Debug)]
pub enum TopicUpdate {
    /// The newest record of each key.
    Snapshot {
        /// The records.
        records: Vec<KeyedRecord>,
        /// The end of the topic at the time of the read.
        end: LogOffset,
    },
    /// The records that were appended since the last read.
    Appended {
        /// The records.
        records: Vec<KeyedRecord>,
        /// The offset after the last one.
        next: LogOffset,
        /// Whether the read reached the end of the topic.
        is_at_end: bool,
    },
}

/// Reads a topic of the log service, and recovers after an outage or a trim of the topic.
#[derive(Debug)]
pub struct TopicReader {
    /// The client of the log service, also for other calls between two reads.
    pub log_client: LogClient,
    context: Arc<GatewayContext>,
    topic: &'static str,
    cursor: TopicCursor,
}

impl TopicReader {
    /// Creates a reader of a topic that has not been read yet.
    pub fn new(context: Arc<GatewayContext>, topic: &'static str) -> Self {
        let log_client = LogClient::new(Arc::clone(&context));
        Self { log_client, context, topic, cursor: TopicCursor::default() }
    }

    /// Records that this VM itself appended the records before `end`, which need not be read.
    pub fn skip_to(&mut self, end: LogOffset) {
        self.cursor.skip_to(end);
    }

    /// Reads new records; waits up to `wait` if there are none yet.
    ///
    /// # Errors
    ///
    /// Fails if a call fails; the next read continues from the same position.
    pub async fn read_update(&mut self, wait: Duration) -> Result<TopicUpdate, LogCallError> {
        let update = self.read_at_cursor(wait).await;
        if !self.log_client.take_loss_of_records() {
            return update;
        }
        // The offsets of the cursor may name other records now.
        self.cursor.record_trimmed();
        self.read_at_cursor(Duration::ZERO).await
    }

    async fn read_at_cursor(&mut self, wait: Duration) -> Result<TopicUpdate, LogCallError> {
        let NextRead::From(from) = self.cursor.next_read(self.context.now()) else {
            let page = self.log_client.read_newest(self.topic).await?;
            self.cursor.record_newest(page.end, self.context.now());
            return Ok(TopicUpdate::Snapshot { records: page.records, end: page.end });
        };
        match self.log_client.read(self.topic, from, wait).await {
            Ok(batch) => {
                self.cursor.record_read(batch.next, batch.end, self.context.now());
                let is_at_end = batch.next >= batch.end;
                Ok(TopicUpdate::Appended { records: batch.records, next: batch.next, is_at_end })
            }
            Err(error) => {
                if matches!(error, LogCallError::Response(LogError::Trimmed(_))) {
                    self.cursor.record_trimmed();
                }
                Err(error)
            }
        }
    }
}
