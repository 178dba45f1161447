//! Logs when a topic of the log service becomes unreachable and reachable again.

use std::fmt::Display;

/// Logs when a topic of the log service becomes unreachable and reachable again, once per change.
#[derive(Debug)]
pub struct TopicConnectivity {
    topic: &'static str,
    is_disconnected: bool,
}

impl TopicConnectivity {
    /// Creates the state of a topic that counts as reachable.
    pub fn new(topic: &'static str) -> Self {
        Self { topic, is_disconnected: false }
    }

    /// Records that the topic was read.
    pub fn record_success(&mut self) {
        if self.is_disconnected {
            log::info!(topic = self.topic; "log service regained");
        }
        self.is_disconnected = false;
    }

    /// Records that a call for the topic failed.
    pub fn record_failure(&mut self, error: &dyn Display) {
        if !self.is_disconnected {
            log::warn!(topic = self.topic, error:% = error; "log service lost");
        }
        self.is_disconnected = true;
    }
}
