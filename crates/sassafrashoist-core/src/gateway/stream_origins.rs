//! Where streams began, so that any VM can let a stream go on at the right servers.
//!
//! What two software versions of a server write does not fit into one stream. The VM that forwards
//! the first event of a stream that may be resumed sends a datagram about it to a few VMs that every
//! other VM selects in the same way, by the id of the attempt. It does not wait for them: a stream
//! whose origin is not known cannot be resumed, but never goes on at a wrong version.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::{SoftwareVersion, Uptime};
use crate::ids::{BackendServerId, ClientAccountId, PoolId};

/// How long the origin of a stream is kept; longer than callers resume a stream.
const KEEP_TIME: Duration = Duration::from_secs(60);
/// The most origins that are kept; the oldest are removed first.
const MAX_ORIGINS: usize = 32_768;

/// Identifies a stream: the hash of the id of the attempt that brought its first event.
pub type StreamKey = u128;

/// Returns the key of the stream that began with an attempt.
pub fn stream_key(request_id: &str) -> StreamKey {
    xxh3_128(request_id.as_bytes())
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The pool of the server that sent the first event.
    pub pool_id: PoolId,
    /// That server.
    pub server_id: BackendServerId,
    /// When that server started, in milliseconds since the Unix epoch.
    pub started_at_unix_ms: u64,
    /// The version of its software.
    pub software_version: SoftwareVersion,
    /// The client account of the caller.
    pub account_id: Option<ClientAccountId>,
}

/// The origins of streams that this VM keeps.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamKey, (Uptime, StreamOrigin)>,
    oldest_first: VecDeque<(Uptime, StreamKey)>,
}

impl StreamOrigins {
    /// Keeps the origin of a stream that began at `began_at`. A stream begins once: a second origin
    /// is ignored.
    pub fn record(&mut self, key: StreamKey, origin: StreamOrigin, began_at: Uptime) {
        self.remove_old(began_at);
        if self.origins.contains_key(&key) {
            return;
        }
        self.origins.insert(key, (began_at, origin));
        self.oldest_first.push_back((began_at, key));
    }

    /// Returns when and where a stream of an account began.
    pub fn find(
        &self,
        key: StreamKey,
        account_id: Option<&str>,
    ) -> Option<&(Uptime, StreamOrigin)> {
        self.origins.get(&key).filter(|(_, origin)| origin.account_id.as_deref() == account_id)
    }

    /// Returns the number of origins that are kept.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn remove_old(&mut self, now: Uptime) {
        while let Some((began_at, key)) = self.oldest_first.front().copied()
            && (now >= began_at + KEEP_TIME || self.origins.len() >= MAX_ORIGINS)
        {
            self.oldest_first.pop_front();
            self.origins.remove(&key);
        }
    }
}
