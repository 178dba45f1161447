//! Which backend servers likely cache the first part of a prompt.
//!
//! A prompt is cut into blocks, and each block is named by the hash of everything up to its end, so
//! that equal names mean equal prefixes. The index learns from this router's own choices and from
//! the servers' cache events. Both may be wrong by now: an entry is believed less the older it is,
//! half as much when events of its server were lost since, and not at all after its time to live.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::server_entry::ServerIndex;
use crate::ids::Timestamp;

/// Names a block by the hash of the prompt up to its end.
pub type BlockHash = u64;

/// Bytes of a block.
pub const BLOCK_BYTES: usize = 128;
/// Blocks of a prompt that are looked at.
pub const MAX_PROMPT_BLOCKS: usize = 64;
/// Servers remembered for one block.
const MAX_HOLDERS: usize = 4;
/// Blocks remembered.
const MAX_BLOCKS: usize = 65_536;
/// The age at which an entry is no longer believed.
const TIME_TO_LIVE: Duration = Duration::from_secs(120);

/// A server that held a block.
#[derive(Debug, Clone, Copy)]
struct Holder {
    server: ServerIndex,
    learned_at: Timestamp,
}

/// A server that likely caches a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixMatch {
    /// The server.
    pub server: ServerIndex,
    /// The part of the prompt's blocks that it caches times the belief in it, in thousandths.
    pub expected_per_mille: u64,
}

/// A bounded index from blocks to the servers that hold them.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<BlockHash, Vec<Holder>>,
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
    /// Records that a server holds blocks.
    pub fn record_stored(&mut self, server: ServerIndex, blocks: &[BlockHash], now: Timestamp) {
        for block in blocks {
            self.record_block(server, *block, now);
        }
    }

    /// Records that a server dropped blocks.
    pub fn record_evicted(&mut self, server: ServerIndex, blocks: &[BlockHash]) {
        for block in blocks {
            if let Some(holders) = self.holders.get_mut(block) {
                holders.retain(|holder| holder.server != server);
            }
        }
    }

    /// Forgets all that is known of a server.
    pub fn forget_server(&mut self, server: ServerIndex) {
        self.gaps.remove(&server);
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.server != server);
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
            let holders = self.holders.get(block).map(Vec::as_slice).unwrap_or_default();
            let part_per_mille = (position as u64 + 1) * 1000 / blocks.len() as u64;
            for holder in holders {
                let is_known = matches.iter().any(|known| known.server == holder.server);
                let expected_per_mille = part_per_mille * self.belief_per_mille(holder, now) / 1000;
                if !is_known && expected_per_mille > 0 {
                    matches.push(PrefixMatch { server: holder.server, expected_per_mille });
                }
            }
            if matches.len() >= MAX_HOLDERS {
                break;
            }
        }
        matches
    }

    /// Returns the number of blocks remembered.
    pub fn block_count(&self) -> usize {
        self.holders.len()
    }

    fn record_block(&mut self, server: ServerIndex, block: BlockHash, now: Timestamp) {
        if !self.holders.contains_key(&block) {
            self.insertion_order.push_back(block);
            self.drop_oldest();
        }
        let holders = self.holders.entry(block).or_default();
        holders.retain(|holder| holder.server != server);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder { server, learned_at: now });
    }

    fn drop_oldest(&mut self) {
        if self.insertion_order.len() > MAX_BLOCKS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.holders.remove(&oldest);
        }
    }

    fn belief_per_mille(&self, holder: &Holder, now: Timestamp) -> u64 {
        let age = now.saturating_sub(holder.learned_at);
        let left = TIME_TO_LIVE.saturating_sub(age);
        let belief = left.as_millis() as u64 * 1000 / TIME_TO_LIVE.as_millis() as u64;
        let gap_since = self.gaps.get(&holder.server).is_some_and(|at| *at >= holder.learned_at);
        if gap_since { belief / 2 } else { belief }
    }
}
