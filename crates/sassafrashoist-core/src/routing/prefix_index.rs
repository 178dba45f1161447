//! An index of the backend servers that likely cache a prefix of a prompt.
//!
//! A prompt is divided into blocks, and each block is identified by the hash of the prompt up to
//! its end, so that equal hashes mean equal prefixes. Entries come from this router's own choices
//! and from the servers' cache events, and may be outdated. The confidence in an entry therefore
//! falls with its age to zero at its time to live, and is halved if events of its server were lost
//! after it was recorded.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::server_entry::ServerIndex;
use crate::ids::Timestamp;

/// Identifies a block by the hash of the prompt up to the block's end.
pub type BlockHash = u64;

/// Size of a block in bytes.
pub const BLOCK_BYTES: usize = 128;
/// The most blocks of a prompt that are hashed; the rest of the prompt is ignored.
pub const MAX_PROMPT_BLOCKS: usize = 64;
/// The most servers recorded for one block. A search ends once it has found this many servers.
const MAX_SERVERS_PER_BLOCK: usize = 4;
/// The most blocks in the index.
const MAX_BLOCKS: usize = 65_536;
/// The age at which the confidence in an entry reaches zero.
const TIME_TO_LIVE: Duration = Duration::from_secs(120);

/// A server that is recorded as caching a block.
#[derive(Debug, Clone, Copy)]
struct BlockLocation {
    server: ServerIndex,
    recorded_at: Timestamp,
}

/// A server that likely caches a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixMatch {
    /// The server.
    pub server: ServerIndex,
    /// The fraction of the prompt's blocks that it caches, times the confidence in that entry, in
    /// thousandths.
    pub expected_cached_per_mille: u64,
}

/// An index of bounded size from blocks to the servers that cache them.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    locations: HashMap<BlockHash, Vec<BlockLocation>>,
    insertion_order: VecDeque<BlockHash>,
    gaps: HashMap<ServerIndex, Timestamp>,
}

/// Hashes the whole blocks at the start of a prompt.
pub fn hash_prompt_blocks(prompt: &[u8]) -> Vec<BlockHash> {
    let mut hash = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PROMPT_BLOCKS)
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

impl PrefixIndex {
    /// Records that a server caches blocks.
    pub fn record_stored(&mut self, server: ServerIndex, blocks: &[BlockHash], now: Timestamp) {
        for block in blocks {
            self.record_block(server, *block, now);
        }
    }

    /// Records that a server evicted blocks.
    pub fn record_evicted(&mut self, server: ServerIndex, blocks: &[BlockHash]) {
        for block in blocks {
            if let Some(locations) = self.locations.get_mut(block) {
                locations.retain(|location| location.server != server);
            }
        }
    }

    /// Removes all entries of a server.
    pub fn remove_server(&mut self, server: ServerIndex) {
        self.gaps.remove(&server);
        for locations in self.locations.values_mut() {
            locations.retain(|location| location.server != server);
        }
    }

    /// Records that events of a server were lost.
    pub fn record_gap(&mut self, server: ServerIndex, now: Timestamp) {
        self.gaps.insert(server, now);
    }

    /// Returns the servers that likely cache a part of the prompt, the longest part first.
    pub fn find(&self, blocks: &[BlockHash], now: Timestamp) -> Vec<PrefixMatch> {
        let mut matches: Vec<PrefixMatch> = Vec::new();
        for (position, block) in blocks.iter().enumerate().rev() {
            let locations = self.locations.get(block).map(Vec::as_slice).unwrap_or_default();
            let prefix_per_mille = (position as u64 + 1) * 1000 / blocks.len() as u64;
            for location in locations {
                let is_matched = matches.iter().any(|found| found.server == location.server);
                let expected_cached_per_mille =
                    prefix_per_mille * self.confidence_per_mille(location, now) / 1000;
                if !is_matched && expected_cached_per_mille > 0 {
                    matches
                        .push(PrefixMatch { server: location.server, expected_cached_per_mille });
                }
            }
            if matches.len() >= MAX_SERVERS_PER_BLOCK {
                break;
            }
        }
        matches
    }

    /// Returns the number of blocks in the index.
    pub fn block_count(&self) -> usize {
        self.locations.len()
    }

    fn record_block(&mut self, server: ServerIndex, block: BlockHash, now: Timestamp) {
        if !self.locations.contains_key(&block) {
            self.insertion_order.push_back(block);
            self.evict_oldest_over_limit();
        }
        let locations = self.locations.entry(block).or_default();
        locations.retain(|location| location.server != server);
        if locations.len() >= MAX_SERVERS_PER_BLOCK {
            locations.remove(0);
        }
        locations.push(BlockLocation { server, recorded_at: now });
    }

    fn evict_oldest_over_limit(&mut self) {
        if self.insertion_order.len() > MAX_BLOCKS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.locations.remove(&oldest);
        }
    }

    fn confidence_per_mille(&self, location: &BlockLocation, now: Timestamp) -> u64 {
        let age = now.saturating_sub(location.recorded_at);
        let left = TIME_TO_LIVE.saturating_sub(age);
        let confidence = left.as_millis() as u64 * 1000 / TIME_TO_LIVE.as_millis() as u64;
        let gap_since =
            self.gaps.get(&location.server).is_some_and(|at| *at >= location.recorded_at);
        if gap_since { confidence / 2 } else { confidence }
    }
}
