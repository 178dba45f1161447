//! The origins of streams that were read from the log.
//!
//! Load answered: all VMs are killed at once, or those that keep the origin of a stream are restarted
//! in turn, and the callers of all broken streams return within the same seconds. No VM knows then
//! where the streams began.

use std::collections::VecDeque;
use std::time::Duration;

use super::Uptime;
use super::origin_batch::{OriginBatch, ServerHash, StoredStreamKey, StreamPlace, server_hash};
use super::server_listing::ServerListing;

/// How long a batch is kept after it was read. The origin of a stream that goes on is written again
/// before.
const KEEP_TIME: Duration = Duration::from_secs(60);
/// The most streams that are kept; the oldest batches are removed first.
const MAX_STREAMS: usize = 65_536;

/// Where a stream began, according to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredOrigin {
    /// The pool and software version.
    pub place: StreamPlace,
    server: ServerHash,
}

impl StoredOrigin {
    /// Returns whether the server that began the stream may have had another software version by then:
    /// the list names it with another one. When the stream began is not known.
    pub fn is_doubtful<'a>(&self, mut listings: impl Iterator<Item = &'a ServerListing>) -> bool {
        listings.any(|listing| {
            server_hash(&listing.id) == self.server
                && listing.software_version != self.place.software_version
        })
    }
}

/// The origins of streams that were read from the log.
#[derive(Debug, Default)]
pub struct StoredOrigins {
    oldest_first: VecDeque<(Uptime, OriginBatch)>,
    stream_count: usize,
}

impl StoredOrigins {
    /// Adds a batch that was read after all others.
    pub fn add(&mut self, batch: OriginBatch, now: Uptime) {
        self.stream_count += batch.streams().len();
        self.oldest_first.push_back((now, batch));
        while let Some((read_at, oldest)) = self.oldest_first.front()
            && (now >= *read_at + KEEP_TIME || self.stream_count > MAX_STREAMS)
        {
            self.stream_count -= oldest.streams().len();
            self.oldest_first.pop_front();
        }
    }

    /// Returns the newest origin of a stream; `None` if there is none, or if two differ.
    pub fn find(&self, key: StoredStreamKey) -> Option<StoredOrigin> {
        let mut newest_first = self.oldest_first.iter().rev().flat_map(|(_, batch)| {
            let streams = batch.streams().iter().filter(move |stream| stream.key == key);
            streams.map(move |stream| (stream.server, batch.place(stream)))
        });
        let (server, place) = newest_first.next()?;
        let place = place?;
        newest_first
            .all(|(_, other)| other == Some(place))
            .then(|| StoredOrigin { place: place.clone(), server })
    }

    /// Returns the number of streams that are kept.
    pub fn len(&self) -> usize {
        self.stream_count
    }

    /// Returns whether no stream is kept.
    pub fn is_empty(&self) -> bool {
        self.stream_count == 0
    }
}
