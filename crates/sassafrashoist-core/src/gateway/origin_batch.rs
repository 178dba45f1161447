//! A record of the log with the origins of streams.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::SoftwareVersion;
use super::stream_origins::StreamOrigin;
use crate::ids::PoolId;

/// Identifies a stream in the log: the hash of the id of the attempt that brought its first event and
/// of its client account.
pub type StoredStreamKey = u64;
/// The hash of the id of a backend server.
pub type ServerHash = u32;

/// The most streams of one batch, which stays far below the longest record of the log service.
pub const MAX_BATCH_STREAMS: usize = 4_096;

/// Returns the key of the stream of an account that began with an attempt.
pub fn stored_stream_key(request_id: &str, account_id: Option<&str>) -> StoredStreamKey {
    let mut hasher = Xxh3::new();
    hasher.update(&(request_id.len() as u64).to_le_bytes());
    hasher.update(request_id.as_bytes());
    hasher.update(account_id.unwrap_or_default().as_bytes());
    hasher.digest()
}

/// Returns the hash of the id of a backend server.
pub fn server_hash(server_id: &str) -> ServerHash {
    xxh3_64(server_id.as_bytes()) as ServerHash
}

/// The pool and the software version at which a stream goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPlace {
    /// The pool.
    pub pool_id: PoolId,
    /// The software version.
    pub software_version: SoftwareVersion,
}

/// A stream of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredStream {
    /// The stream.
    pub key: StoredStreamKey,
    /// The server that began it.
    pub server: ServerHash,
    /// The index of its place.
    place: u16,
}

/// A record of the log with the origins of streams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginBatch {
    places: Vec<StreamPlace>,
    streams: Vec<StoredStream>,
}

impl OriginBatch {
    /// Adds a stream; returns whether there was room for it.
    pub fn try_push(&mut self, key: StoredStreamKey, origin: &StreamOrigin) -> bool {
        if self.streams.len() >= MAX_BATCH_STREAMS {
            return false;
        }
        let is_place = |place: &StreamPlace| {
            place.pool_id == origin.pool_id && place.software_version == origin.software_version
        };
        let index = self.places.iter().position(is_place).unwrap_or_else(|| {
            self.places.push(StreamPlace {
                pool_id: origin.pool_id.clone(),
                software_version: origin.software_version.clone(),
            });
            self.places.len() - 1
        });
        let server = server_hash(&origin.server_id);
        self.streams.push(StoredStream { key, server, place: index as u16 });
        true
    }

    /// Returns the streams.
    pub fn streams(&self) -> &[StoredStream] {
        &self.streams
    }

    /// Returns the place of a stream of this batch; `None` if the batch is malformed.
    pub fn place(&self, stream: &StoredStream) -> Option<&StreamPlace> {
        self.places.get(usize::from(stream.place))
    }

    /// Returns whether no stream is in the batch.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
