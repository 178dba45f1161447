//! The settings and faults of an engine.

use std::time::Duration;

use sassafrashoist_core::ids::ModelId;

/// The settings and faults of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The models it has loaded.
    pub model_ids: Vec<ModelId>,
    /// Requests that it runs at once.
    pub slot_count: usize,
    /// Time to make one token.
    pub step_time: Duration,
    /// Time for each prompt token that no cached prefix covers.
    pub prefill_time_per_token: Duration,
    /// Prompt tokens that the prefix cache holds.
    pub prefix_cache_tokens: usize,
    /// The age of the figures in a load report.
    pub report_lag: Duration,
    /// The age of the newest cache event that readers see.
    pub cache_event_lag: Duration,
    /// One cache event of this many is lost; none if 0.
    pub cache_event_lost_every: u64,
    /// A prompt with this text crashes the engine.
    pub crash_marker: Option<String>,
    /// How long a crashed engine is gone.
    pub crash_down_time: Duration,
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
            cache_event_lost_every: 50,
            crash_marker: None,
            crash_down_time: Duration::from_millis(500),
            max_queue_length: 64,
            checks_fencing: true,
        }
    }
}
