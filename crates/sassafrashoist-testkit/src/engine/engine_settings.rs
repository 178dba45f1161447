//! The settings and faults of an engine.

use std::time::Duration;

use sassafrashoist_core::ids::ModelId;

/// The settings and faults of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The models that are loaded.
    pub model_ids: Vec<ModelId>,
    /// The number of requests that run concurrently.
    pub slot_count: usize,
    /// Time to generate one token.
    pub step_time: Duration,
    /// Prefill time for each prompt token that is not in a cached prefix.
    pub prefill_time_per_token: Duration,
    /// The capacity of the prefix cache in prompt tokens.
    pub prefix_cache_tokens: usize,
    /// The age of the counts in a load report.
    pub report_lag: Duration,
    /// The age that a cache event must have before readers see it.
    pub cache_event_lag: Duration,
    /// One cache event in this many is lost; none if 0.
    pub cache_event_loss_interval: u64,
    /// A prompt that contains this text crashes the engine.
    pub crash_marker: Option<String>,
    /// How long the engine is unreachable after a crash.
    pub crash_downtime: Duration,
    /// Whether requests beyond the slots wait in a queue; else they are refused as not begun.
    pub max_queue_length: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model_ids: vec!["appraiser".into()],
            slot_count: 16,
            step_time: Duration::from_millis(2),
            prefill_time_per_token: Duration::from_micros(10),
            prefix_cache_tokens: 20_000,
            report_lag: Duration::from_millis(200),
            cache_event_lag: Duration::from_millis(300),
            cache_event_loss_interval: 50,
            crash_marker: None,
            crash_downtime: Duration::from_millis(500),
            max_queue_length: 64,
            checks_fencing: true,
        }
    }
}
