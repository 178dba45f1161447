//! The faults that the platform injects.

use std::collections::BTreeSet;
use std::time::Duration;

use sassafrashoist_core::ids::DataCentreId;

/// The faults that the platform injects, and its rate limits; no faults by default.
#[derive(Debug, Clone)]
pub struct PlatformFaults {
    /// Whether each request is held, and its connection then broken, without a response.
    pub is_unresponsive: bool,
    /// Data centres for whose requests the platform is unresponsive.
    pub cut_data_centres: BTreeSet<DataCentreId>,
    /// Time added to each request.
    pub added_latency: Duration,
    /// How many of the next appends take effect but lose their response.
    pub lost_append_responses: u32,
    /// The age from which records are trimmed.
    pub trim_after: Option<Duration>,
    /// The most append requests in a second, over all streams.
    pub max_appends_per_second: u32,
    /// Time until a change of the VM list is visible.
    pub vm_list_lag: Duration,
    /// The most requests for model weights in a second.
    pub max_weight_fetches_per_second: u32,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            is_unresponsive: false,
            cut_data_centres: BTreeSet::new(),
            added_latency: Duration::ZERO,
            lost_append_responses: 0,
            trim_after: None,
            max_appends_per_second: 300,
            vm_list_lag: Duration::ZERO,
            max_weight_fetches_per_second: 2,
        }
    }
}
