//! What an engine knows.

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

/// Requests that an engine remembers after their end.
const REMEMBERED_SEQUENCES: usize = 10_000;

/// What an engine knows; all of it is lost in a crash, but for the counters.
#[derive(Debug)]
pub struct EngineState {
    /// The settings.
    pub settings: EngineSettings,
    /// The slots.
    pub slots: SlotQueue,
    /// The cached prompts.
    pub cache: PrefixCache,
    /// The events of the cache.
    pub cache_events: CacheEvents,
    /// Grows with each crash; work of an older life has no effect.
    pub life: u64,
    /// Until when the engine is gone.
    pub down_until: Option<Instant>,
    /// Requests begun since the start, over all lives.
    pub begun_count: u64,
    /// Tokens made since the start, over all lives.
    pub made_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cache_hit_tokens: u64,
    /// Prompt tokens of all requests.
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
            life: 0,
            down_until: None,
            begun_count: 0,
            made_tokens: 0,
            cache_hit_tokens: 0,
            prompt_tokens: 0,
            sequences: HashMap::new(),
            sequence_order: VecDeque::new(),
            reports: VecDeque::new(),
        }
    }

    /// Returns whether the engine is gone.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Loses everything in progress.
    pub fn crash(&mut self) {
        self.life += 1;
        self.down_until = Some(Instant::now() + self.settings.crash_down_time);
        for sequence in self.sequences.values() {
            sequence.stop();
        }
        self.sequences.clear();
        self.sequence_order.clear();
        self.slots = SlotQueue::new(self.settings.slot_count, self.settings.max_queue_length);
        self.cache = PrefixCache::new(self.settings.prefix_cache_tokens);
        self.cache_events = CacheEvents::default();
    }

    /// Caches a prompt and tells of it.
    pub fn cache_prompt(&mut self, prompt: &str) {
        let lost_every = self.settings.cache_event_lost_every;
        let Some(dropped) = self.cache.insert(prompt) else {
            return;
        };
        for prompt in dropped {
            self.cache_events.record(CacheChange::Evicted, &prompt, lost_every);
        }
        self.cache_events.record(CacheChange::Stored, prompt, lost_every);
    }

    /// Remembers a request.
    pub fn insert_sequence(&mut self, request_id: &str, sequence: Arc<Sequence>) {
        self.sequences.insert(request_id.to_owned(), sequence);
        self.sequence_order.push_back(request_id.to_owned());
        if self.sequence_order.len() > REMEMBERED_SEQUENCES
            && let Some(oldest) = self.sequence_order.pop_front()
        {
            self.sequences.remove(&oldest);
        }
    }

    /// Returns a request.
    pub fn sequence(&self, request_id: &str) -> Option<Arc<Sequence>> {
        self.sequences.get(request_id).cloned()
    }

    /// Returns the load as it was before the report's lag.
    pub fn lagging_report(&mut self, current: LoadReport) -> LoadReport {
        self.reports.push_back((Instant::now(), current));
        let lag = self.settings.report_lag;
        while self.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.reports.pop_front();
        }
        self.reports.front().map_or(current, |(_, report)| *report)
    }
}
