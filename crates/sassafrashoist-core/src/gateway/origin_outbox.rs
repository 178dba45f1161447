//! The streams of this VM whose origins have to be in the log.
//!
//! A stream that ends completely before its origin is written needs none. That of a stream that goes
//! on is written again before the log service may delete it; that of a stream that was broken off is
//! written once, as its caller may resume it at another VM.

use std::collections::HashMap;
use std::time::Duration;

use super::Uptime;
use super::origin_batch::{OriginBatch, StoredStreamKey};
use super::stream_origins::StreamOrigin;

/// The shortest time between two batches of a VM, a few events of a stream.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// The most batches a second of the whole fleet. A partition of the log service processes its appends
/// one after the other, and most take 4 ms.
const MAX_BATCHES_PER_S: f64 = 100.0;
/// The largest deviation of the interval, as a fraction of it: VMs that start at the same moment do
/// not go on to append at the same moments.
const INTERVAL_JITTER: f64 = 0.1;
/// How long the origin of a broken stream waits for the log service; longer than callers resume it.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// How often the origin of a stream that goes on is written in the time for which the log service
/// keeps a record.
const WRITES_PER_KEEP_TIME: u32 = 2;
/// The longest time between two writes of an origin. A VM that follows the topic keeps what it has read
/// for twice as long.
const MAX_REWRITE_INTERVAL: Duration = Duration::from_secs(30);

/// Returns the time after which the origin of a stream that goes on is written again, if the log service
/// keeps a record for `log_keep_time`.
pub fn rewrite_interval(log_keep_time: Duration) -> Duration {
    MAX_REWRITE_INTERVAL.min(log_keep_time / WRITES_PER_KEEP_TIME)
}

/// Returns the time between two batches of a VM in a fleet of `vm_count` VMs; `random` is from 0 to 1.
pub fn batch_interval(vm_count: usize, random: f64) -> Duration {
    let shared = Duration::from_secs_f64(vm_count as f64 / MAX_BATCHES_PER_S);
    shared.max(MIN_INTERVAL).mul_f64(1.0 + INTERVAL_JITTER * (2.0 * random - 1.0))
}

/// A stream of this VM.
#[derive(Debug)]
struct OutgoingOrigin {
    origin: StreamOrigin,
    /// The responses in progress that forward it.
    response_count: u32,
    /// When the batch that stored it was sent.
    stored_at: Option<Uptime>,
    broken_at: Option<Uptime>,
}

impl OutgoingOrigin {
    fn is_due(&self, rewrite_interval: Duration, now: Uptime) -> bool {
        self.stored_at.is_none_or(|stored_at| now >= stored_at + rewrite_interval)
    }

    /// Returns whether the stream was broken off and its origin need not be written any more.
    fn is_over(&self, now: Uptime) -> bool {
        self.response_count == 0
            && (self.stored_at.is_some()
                || self.broken_at.is_some_and(|broken_at| now >= broken_at + MAX_WAIT))
    }
}

/// The streams of this VM whose origins have to be in the log.
#[derive(Debug, Default)]
pub struct OriginOutbox {
    streams: HashMap<StoredStreamKey, OutgoingOrigin>,
}

impl OriginOutbox {
    /// Records that a response forwards a stream.
    pub fn record_begun(&mut self, key: StoredStreamKey, origin: StreamOrigin) {
        let stream = self.streams.entry(key).or_insert_with(|| OutgoingOrigin {
            origin,
            response_count: 0,
            stored_at: None,
            broken_at: None,
        });
        stream.response_count += 1;
    }

    /// Records that a response that forwards a stream has ended, and whether the stream is complete.
    pub fn record_ended(&mut self, key: StoredStreamKey, is_complete: bool, now: Uptime) {
        let Some(stream) = self.streams.get_mut(&key) else {
            return;
        };
        stream.response_count = stream.response_count.saturating_sub(1);
        stream.broken_at = Some(now);
        if stream.response_count == 0 && (is_complete || stream.is_over(now)) {
            self.streams.remove(&key);
        }
    }

    /// Returns the origins that are to be written now, as far as they fit into one batch; each is
    /// written again after `rewrite_interval`.
    pub fn due_batch(&mut self, rewrite_interval: Duration, now: Uptime) -> OriginBatch {
        self.streams.retain(|_, stream| !stream.is_over(now));
        let mut batch = OriginBatch::default();
        for (key, stream) in &self.streams {
            if stream.is_due(rewrite_interval, now) && !batch.try_push(*key, &stream.origin) {
                break;
            }
        }
        batch
    }

    /// Records that a batch that was sent at `sent_at` is in the log.
    pub fn record_stored(&mut self, batch: &OriginBatch, sent_at: Uptime) {
        for stored in batch.streams() {
            if let Some(stream) = self.streams.get_mut(&stored.key) {
                stream.stored_at = Some(sent_at);
            }
        }
        self.streams.retain(|_, stream| !stream.is_over(sent_at));
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether there is no stream.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
