//! The expected time to the first event of a request at one server, and the time that the request
//! costs others there.
//!
//! Addresses engines that serve long prompts and short ones with tighter targets.

use std::time::Duration;

/// The time that a request is assumed to hold a slot, in milliseconds.
const SLOT_TIME_MS: f64 = 250.0;
/// The cost of a server whose slots are all in use, beyond that of an idle one, in milliseconds: each
/// running request lengthens the steps of an engine.
const FULL_SLOTS_COST_MS: f64 = 60.0;
/// The delay of other requests by the prefill of a prefix that another server has cached, as a part
/// of that prefill.
const REPEATED_DELAY_FRACTION: f64 = 1.0;

/// The inputs of the cost of one server for one request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementCost {
    /// The prompt tokens ahead at the server.
    pub tokens_ahead: f64,
    /// The expected prefill of the request.
    pub prefill_tokens: f64,
    /// The part of it that another server has cached.
    pub repeated_tokens: f64,
    /// The usual prefill speed of the server.
    pub tokens_per_ms: f64,
    /// The usual response time to a request without a prompt.
    pub response_ms: f64,
    /// The present time of work as a multiple of the usual time.
    pub slowness: f64,
    /// The age of the report of that.
    pub slowness_age: Option<Duration>,
    /// The expected number of requests of all VMs at the server.
    pub request_count: f64,
    /// The number of requests that the server runs at once.
    pub slot_count: f64,
}

impl PlacementCost {
    /// Returns the expected time to the first event, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        let prompt_ms = self.time_ms(self.tokens_ahead + self.prefill_tokens);
        let work_ms =
            if self.prefill_tokens > 0.0 { 0.0 } else { self.response_ms * self.slowness };
        let slot_use = self.request_count / self.slot_count;
        let queued = (self.request_count + 1.0 - self.slot_count).max(0.0);
        let slot_ms = if self.prefill_tokens > 0.0 { SLOT_TIME_MS } else { work_ms };
        let queue_ms = queued / self.slot_count * slot_ms * self.slowness;
        prompt_ms + work_ms + slot_use * FULL_SLOTS_COST_MS + queue_ms
    }

    /// Returns the expected delay of other requests, in milliseconds.
    pub fn imposed_ms(&self) -> f64 {
        self.time_ms(self.repeated_tokens) * REPEATED_DELAY_FRACTION
    }

    /// Returns the cost of the server, in milliseconds.
    pub fn total_ms(&self) -> f64 {
        self.expected_ms() + self.imposed_ms()
    }

    fn time_ms(&self, tokens: f64) -> f64 {
        if tokens > 0.0 { tokens * self.slowness / self.tokens_per_ms } else { 0.0 }
    }
}
