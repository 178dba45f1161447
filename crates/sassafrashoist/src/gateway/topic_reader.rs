//! Reads a topic of the log service, and recovers after an outage or a trim of the topic.

use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_adapter::fleet_config_document::CONFIG_TOPIC;
use sassafrashoist_adapter::log_responses::{KeyedRecord, LogError, NewestPage};
use sassafrashoist_adapter::server_entry::SERVERS_TOPIC;
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::read_precedence::TopicRank;
use sassafrashoist_core::gateway::topic_cursor::{NextRead, TopicCursor};
use sassafrashoist_core::ids::LogOffset;

use super::gateway_context::GatewayContext;
use super::log_client::{LogCallError, LogClient};

/// How long pages are kept that were read before a read of the newest records failed.
const MAX_PAGE_AGE: Duration = Duration::from_secs(5);

/// The result of one read of a topic.
#[derive(Debug)]
pub enum TopicUpdate {
    /// The newest record of each key.
    Snapshot {
        /// The records.
        records: Vec<KeyedRecord>,
        /// The end of the topic at the time of the read.
        end: LogOffset,
        /// The records are as of this time or later, whenever the response arrived.
        known_at: Uptime,
        /// The era of the log service; 0 if it names none.
        era: u64,
    },
    /// The records that were appended since the last read.
    Appended {
        /// The records.
        records: Vec<KeyedRecord>,
        /// The offset after the last one.
        next: LogOffset,
        /// Whether the read reached the end of the topic.
        is_at_end: bool,
        /// The records are as of this time or later, whenever the response arrived.
        known_at: Uptime,
        /// The era of the log service; 0 if it names none.
        era: u64,
    },
}

/// Reads a topic of the log service, and recovers after an outage or a trim of the topic.
#[derive(Debug)]
pub struct TopicReader {
    /// The client of the log service, also for other calls between two reads.
    pub log_client: LogClient,
    context: Arc<GatewayContext>,
    topic: &'static str,
    rank: TopicRank,
    cursor: TopicCursor,
    /// The pages of a read of the newest records that is not complete, and when it began.
    first_pages: Option<(Uptime, NewestPage)>,
    waits_for_other_topics: bool,
}

impl TopicReader {
    /// Creates a reader of a topic that has not been read yet.
    pub fn new(context: Arc<GatewayContext>, topic: &'static str) -> Self {
        let log_client = LogClient::new(Arc::clone(&context));
        let log_client = match topic {
            CONFIG_TOPIC => log_client.reading_config(),
            _ => log_client,
        };
        let rank = match topic {
            CONFIG_TOPIC => TopicRank::Config,
            SERVERS_TOPIC => TopicRank::Servers,
            _ => TopicRank::Ledger,
        };
        Self {
            log_client,
            context,
            topic,
            rank,
            cursor: TopicCursor::default(),
            first_pages: None,
            waits_for_other_topics: true,
        }
    }

    /// Lets the next reads start without waiting until other topics are read: this VM is about to
    /// stop.
    pub fn stop_waiting_for_other_topics(&mut self) {
        self.waits_for_other_topics = false;
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
        let mut update = self.read_at_cursor(wait).await;
        if self.log_client.take_loss_of_records() {
            // The offsets of the cursor may name other records now.
            self.cursor.record_trimmed();
            self.first_pages = None;
            update = self.read_at_cursor(Duration::ZERO).await;
        }
        if update.is_ok() {
            self.context.record_topic_read(self.rank);
        }
        update
    }

    async fn read_at_cursor(&mut self, wait: Duration) -> Result<TopicUpdate, LogCallError> {
        if let Err(error) = self.log_client.connect().await {
            self.log_client.record_failed_read();
            self.context.lock_read_precedence().record_disconnected(self.rank);
            return Err(error);
        }
        let begun_at = self.context.now();
        let NextRead::From(from) = self.cursor.next_read(begun_at) else {
            if self.waits_for_other_topics {
                self.context.wait_for_earlier_topics(self.rank).await;
            }
            let (known_at, page) = self.read_newest().await?;
            self.cursor.record_newest(page.end, self.context.now());
            return Ok(TopicUpdate::Snapshot {
                records: page.records,
                end: page.end,
                known_at,
                era: self.log_client.era().unwrap_or_default(),
            });
        };
        match self.log_client.read(self.topic, from, wait).await {
            Ok(batch) => {
                let now = self.context.now();
                self.cursor.record_read(batch.next, batch.end, now);
                // The service has waited if it has no record.
                let waited = if batch.records.is_empty() { wait } else { Duration::ZERO };
                Ok(TopicUpdate::Appended {
                    records: batch.records,
                    next: batch.next,
                    is_at_end: batch.next >= batch.end,
                    known_at: now.min(begun_at + waited),
                    era: self.log_client.era().unwrap_or_default(),
                })
            }
            Err(error) => {
                match &error {
                    LogCallError::Response(LogError::Trimmed(_)) => self.cursor.record_trimmed(),
                    LogCallError::TimedOut(_) => {
                        let took = self.context.now().saturating_sub(begun_at);
                        self.cursor.record_given_up(took);
                    }
                    _ => {}
                }
                Err(error)
            }
        }
    }

    /// Reads the newest record of each key, and returns them with the time when the first page was
    /// requested; further reads start at `end` of the result. After a failure, the next call
    /// continues after the last page that was read.
    async fn read_newest(&mut self) -> Result<(Uptime, NewestPage), LogCallError> {
        let now = self.context.now();
        self.first_pages.take_if(|(begun_at, _)| now >= *begun_at + MAX_PAGE_AGE);
        loop {
            let last_record = self.first_pages.as_ref().and_then(|(_, all)| all.records.last());
            let last_key = last_record.map(|record| record.key.clone());
            let sent_at = self.context.now();
            let page = self.log_client.read_newest_page(self.topic, last_key.as_deref()).await?;
            let has_more = page.has_more && !page.records.is_empty();
            let (begun_at, mut all) = match self.first_pages.take() {
                Some((begun_at, mut all)) => {
                    all.records.extend(page.records);
                    (begun_at, all)
                }
                None => (sent_at, page),
            };
            all.has_more = has_more;
            if !has_more {
                return Ok((begun_at, all));
            }
            self.first_pages = Some((begun_at, all));
        }
    }
}
