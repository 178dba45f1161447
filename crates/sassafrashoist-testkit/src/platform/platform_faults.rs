//! The platform's faults, as settings.

use std::collections::BTreeSet;
use std::time::Duration;

use sassafrashoist_core::ids::DataCentreId;

/// The platform's faults; none by default.
#[derive(Debug, Clone)]
pub struct PlatformFaults {
    /// Nothing is answered in time.
    pub is_out: bool,
    /// Data centres whose calls are not answered in time.
    pub cut_data_centres: BTreeSet<DataCentreId>,
    /// Time added to each call.
    pub slowness: Duration,
    /// How many of the next appends take effect and lose their answer.
    pub lost_append_answers: u32,
    /// Records older than this are trimmed.
    pub trim_after: Option<Duration>,
    /// The most appends in a second, over all streams.
    pub max_appends_per_second: u32,
    /// Time until a change of the VM list shows.
    pub vm_list_lag: Duration,
    /// The most weights fetched in a second.
    pub max_weights_per_second: u32,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            is_out: false,
            cut_data_centres: BTreeSet::new(),
            slowness: Duration::ZERO,
            lost_append_answers: 0,
            trim_after: None,
            max_appends_per_second: 300,
            vm_list_lag: Duration::ZERO,
            max_weights_per_second: 2,
        }
    }
}
