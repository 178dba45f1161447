//! The state of an engine.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use super::cache_events::CacheEvents;
use super::engine_settings::EngineSettings;
use super::prefix_cache::PrefixCache;
use super::sequence::Sequence;
use super::slot_queue::SlotQueue;
use sassafrashoist_core::routing::cache_event::CacheChange;
use sassafrashoist_core::routing::server_view::LoadReport;

/// The most requests whose state an engine stores, ended ones included.
const MAX_STORED_SEQUENCES: usize = 10_000;

/// The state of an engine; all of it is lost in a crash, but for the counters.
#[derive(Debug)]
pub struct EngineState {
    /// The settings.
    pub settings: EngineSettings,
    /// The slots and the requests that wait for one.
    pub slots: SlotQueue,
    /// The prefix cache.
    pub cache: PrefixCache,
    /// The events of the prefix cache.
    pub cache_events: CacheEvents,
    /// Incremented by each crash; work of an earlier incarnation has no effect.
    pub incarnation: u64,
    /// The end of the current or last downtime.
    pub down_until: Option<Instant>,
    /// Requests started, over all incarnations.
    pub started_count: u64,
    /// Tokens generated, over all incarnations.
    pub generated_tokens: u64,
    /// Prompt tokens found in the cache, over all incarnations.
    pub cache_hit_tokens: u64,
    /// Prompt tokens of all requests, over all incarnations.
    pub prompt_tokens: u64,
    sequences: HashMap<String, Arc<Sequence>>,
    sequence_order: VecDeque<String>,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl EngineState {
    /// Creates an idle engine.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            slots: SlotQueue::new(settings.slot_count, settings.max_queue_length),
            cache: PrefixCache::new(settings.prefix_cache_tokens),
            cache_events: CacheEvents::default(),
            settings,
            incarnation: 0,
            down_until: None,
            started_count: 0,
            generated_tokens: 0,
            cache_hit_tokens: 0,
            prompt_tokens: 0,
            sequences: HashMap::new(),
            sequence_order: VecDeque::new(),
            reports: VecDeque::new(),
        }
    }

    /// Returns whether the engine is unreachable after a crash.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Crashes the engine: aborts the requests in progress and clears the queue and the cache.
    pub fn crash(&mut self) {
        self.incarnation += 1;
        self.down_until = Some(Instant::now() + self.settings.crash_downtime);
        for sequence in self.sequences.values() {
            sequence.abort();
        }
        self.sequences.clear();
        self.sequence_order.clear();
        self.slots = SlotQueue::new(self.settings.slot_count, self.settings.max_queue_length);
        self.cache = PrefixCache::new(self.settings.prefix_cache_tokens);
        self.cache_events = CacheEvents::default();
    }

    /// Caches a prompt and records the cache events.
    pub fn cache_prompt(&mut self, prompt: &str) {
        let loss_interval = self.settings.cache_event_loss_interval;
        let Some(evicted) = self.cache.insert(prompt) else {
            return;
        };
        for prompt in evicted {
            self.cache_events.record(CacheChange::Evicted, &prompt, loss_interval);
        }
        self.cache_events.record(CacheChange::Stored, prompt, loss_interval);
    }

    /// Stores the state of a request, and removes the oldest beyond the limit.
    pub fn insert_sequence(&mut self, request_id: &str, sequence: Arc<Sequence>) {
        self.sequences.insert(request_id.to_owned(), sequence);
        self.sequence_order.push_back(request_id.to_owned());
        if self.sequence_order.len() > MAX_STORED_SEQUENCES
            && let Some(oldest) = self.sequence_order.pop_front()
        {
            self.sequences.remove(&oldest);
        }
    }

    /// Returns the state of a request.
    pub fn sequence(&self, request_id: &str) -> Option<Arc<Sequence>> {
        self.sequences.get(request_id).cloned()
    }

    /// Records the current load and returns the load of `report_lag` ago, or the oldest recorded.
    pub fn delayed_report(&mut self, current: LoadReport) -> LoadReport {
        self.reports.push_back((Instant::now(), current));
        let lag = self.settings.report_lag;
        while self.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.reports.pop_front();
        }
        self.reports.front().map_or(current, |(_, report)| *report)
    }
}
