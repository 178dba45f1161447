//! Notes when a topic of the log service is lost and regained.

use std::fmt::Display;

/// Notes when a topic of the log service is lost and regained, once each.
#[derive(Debug)]
pub struct TopicReach {
    topic: &'static str,
    is_lost: bool,
}

impl TopicReach {
    /// Starts as reached.
    pub fn new(topic: &'static str) -> Self {
        Self { topic, is_lost: false }
    }

    /// Records that the topic was read.
    pub fn record_success(&mut self) {
        if self.is_lost {
            log::info!(topic = self.topic; "log service regained");
        }
        self.is_lost = false;
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self, error: &dyn Display) {
        if !self.is_lost {
            log::warn!(topic = self.topic, error:% = error; "log service lost");
        }
        self.is_lost = true;
    }
}
