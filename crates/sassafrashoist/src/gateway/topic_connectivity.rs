//! Logs when a topic of the log service becomes unreachable and reachable again.

use std::fmt::Display;

use sassafrashoist_core::gateway::Uptime;

/// Logs when a topic of the log service becomes unreachable and reachable again, once per change.
#[derive(Debug)]
pub struct TopicConnectivity {
    topic: &'static str,
    /// The failures in a row.
    failure_count: u32,
    lost_at: Uptime,
}

impl TopicConnectivity {
    /// Creates the state of a topic that counts as reachable.
    pub fn new(topic: &'static str) -> Self {
        Self { topic, failure_count: 0, lost_at: Uptime::ZERO }
    }

    /// Returns the number of failures in a row.
    pub fn failure_count(&self) -> u32 {
        self.failure_count
    }

    /// Records that the topic was read.
    pub fn record_success(&mut self, now: Uptime) {
        if self.failure_count > 0 {
            log::info!(
                topic = self.topic, failures = self.failure_count,
                lost_ms = now.saturating_sub(self.lost_at).as_millis() as u64;
                "log service regained"
            );
        }
        self.failure_count = 0;
    }

    /// Records that a call for the topic failed; returns the number of failures in a row.
    pub fn record_failure(&mut self, error: &dyn Display, now: Uptime) -> u32 {
        if self.failure_count == 0 {
            log::warn!(topic = self.topic, error:% = error; "log service lost");
            self.lost_at = now;
        }
        self.failure_count = self.failure_count.saturating_add(1);
        self.failure_count
    }
}
