//! The events with which an engine reports changes of its prefix cache, delayed and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sassafrashoist_core::routing::cache_event::{CacheChange, CacheEvent, CacheEventPage};
use sassafrashoist_core::routing::prefix_index::hash_prompt_blocks;

/// The most events stored for readers.
const MAX_STORED_EVENTS: usize = 1_000;

/// The events of one incarnation of an engine.
#[derive(Debug, Default)]
pub struct CacheEvents {
    events: VecDeque<(Instant, CacheEvent)>,
    next_sequence: u64,
}

impl CacheEvents {
    /// Adds an event; one in `loss_interval` is lost, none if that is 0.
    pub fn record(&mut self, change: CacheChange, prompt: &str, loss_interval: u64) {
        let blocks = hash_prompt_blocks(prompt.as_bytes());
        let event = CacheEvent { sequence: self.next_sequence, change, blocks };
        self.next_sequence += 1;
        if loss_interval > 0 && self.next_sequence.is_multiple_of(loss_interval) {
            return;
        }
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_STORED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Reads the events with the sequence number `from` or a later one that are at least `lag` old,
    /// up to `max_blocks` blocks.
    ///
    /// Starts at 0 if no event has reached `from` yet, as after a crash of the engine.
    pub fn read(&self, from: u64, max_blocks: usize, lag: Duration) -> CacheEventPage {
        let from = if from > self.next_sequence { 0 } else { from };
        let mut page = CacheEventPage { events: Vec::new(), next_sequence: from };
        let mut block_count = 0;
        for (at, event) in self.events.iter().filter(|(_, event)| event.sequence >= from) {
            block_count += event.blocks.len();
            if at.elapsed() < lag || block_count > max_blocks {
                break;
            }
            page.next_sequence = event.sequence + 1;
            page.events.push(event.clone());
        }
        page
    }
}
