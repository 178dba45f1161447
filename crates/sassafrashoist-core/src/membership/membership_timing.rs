//! The intervals, timeouts and limits of membership.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The intervals, timeouts and limits of membership.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipTiming {
    /// The time between two rounds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "round_interval_ms")]
    pub round_interval: Duration,
    /// The timeout of a heartbeat.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "probe_timeout_ms")]
    pub probe_timeout: Duration,
    /// How long a VM is suspect before it is declared gone.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "suspect_timeout_ms")]
    pub suspect_timeout: Duration,
    /// The number of VMs that one round sends heartbeats to.
    pub fan_out: usize,
    /// The maximum number of updates about other VMs in one heartbeat.
    pub max_updates: usize,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(500),
            suspect_timeout: Duration::from_secs(3),
            fan_out: 2,
            max_updates: 8,
        }
    }
}

impl MembershipTiming {
    /// The longest time between two rounds after which this VM cannot have been declared gone.
    pub fn pause_bound(&self) -> Duration {
        self.suspect_timeout
    }
}
