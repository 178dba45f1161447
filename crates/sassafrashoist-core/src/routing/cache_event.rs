//! What a backend server tells of its prefix cache.

use serde::{Deserialize, Serialize};

use super::prefix_index::BlockHash;

/// What happened to blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// They are cached now.
    Stored,
    /// They are no longer cached.
    Evicted,
}

/// A change of a server's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number, from 0 at the server's start.
    pub sequence: u64,
    /// What happened.
    pub change: CacheChange,
    /// To which blocks.
    pub blocks: Vec<BlockHash>,
}

/// Some events of a server, which come late and with gaps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The events, in order.
    pub events: Vec<CacheEvent>,
    /// The number of the next event.
    pub next_sequence: u64,
}

impl CacheEventPage {
    /// Returns whether events from `expected` on are missing, or the server has started again.
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
