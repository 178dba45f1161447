//! Events that a backend server reports about its prefix cache.

use serde::{Deserialize, Serialize};

use super::prefix_index::BlockHash;

/// What happened to blocks of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The blocks are now cached.
    Stored,
    /// The blocks are no longer cached.
    Evicted,
}

/// A change of a server's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its sequence number, which starts from 0 when the server starts.
    pub sequence: u64,
    /// What happened to the blocks.
    pub change: CacheChange,
    /// The blocks that changed.
    pub blocks: Vec<BlockHash>,
}

/// A page of a server's cache events. Events arrive late, and some can be missing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The events, in order.
    pub events: Vec<CacheEvent>,
    /// The sequence number of the event after this page.
    pub next_sequence: u64,
}

impl CacheEventPage {
    /// Returns whether events since sequence number `expected` are missing or the server has
    /// restarted.
    pub fn has_gap(&self, expected: u64) -> bool {
        let mut next = expected;
        for event in &self.events {
            if event.sequence != next {
                return true;
            }
            next += 1;
        }
        self.next_sequence != next
    }
}
