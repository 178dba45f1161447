//! All that the directory keeps of one backend server.

use std::time::Duration;

use super::Uptime;
use super::server_listing::ServerListing;
use crate::routing::circuit_breaker::{AttemptVerdict, CircuitBreaker};

/// Time after which a report of the server's load is believed half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(700);
/// Silence, while requests are in progress, after which a server is used only when all are silent.
const SILENCE_BOUND: Duration = Duration::from_millis(1_200);
/// Silence, while requests are in progress, that begins to count against a server.
const SUSPICIOUS_SILENCE: Duration = Duration::from_millis(300);
/// The weight of one ended attempt in the share of failed ones.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.2;
/// Time after which a share of failed attempts is forgotten to 1/e.
const FAILURE_DECAY_S: f64 = 6.0;

/// What a server said of its load in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running_count: u32,
    /// Requests that wait there.
    pub waiting_count: u32,
    /// Requests that it can run at a time.
    pub slot_count: u32,
}

/// All that the directory keeps of one backend server.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// What it says of itself.
    pub listing: ServerListing,
    /// When it left the platform's list.
    pub unlisted_at: Option<Uptime>,
    pub(super) breaker: CircuitBreaker,
    pub(super) in_flight_count: u32,
    pub(super) pending_prompt_tokens: u64,
    others_count: f64,
    reported_at: Uptime,
    heard_at: Uptime,
    failed_part: f64,
    failed_at: Uptime,
}

impl ServerState {
    /// Creates the state of a server that was just listed.
    pub fn new(listing: ServerListing, now: Uptime) -> Self {
        Self {
            listing,
            unlisted_at: None,
            breaker: CircuitBreaker::default(),
            in_flight_count: 0,
            pending_prompt_tokens: 0,
            others_count: 0.0,
            reported_at: Uptime::ZERO,
            heard_at: now,
            failed_part: 0.0,
            failed_at: now,
        }
    }

    /// Returns whether new requests may be sent to it.
    pub fn takes_requests(&self) -> bool {
        self.unlisted_at.is_none() && !self.listing.is_draining
    }

    /// Returns whether it is believed to answer.
    pub fn is_responsive(&self, now: Uptime) -> bool {
        self.breaker.allows_attempt() && self.silence(now) < SILENCE_BOUND
    }

    /// Estimates the requests of all VMs on it.
    pub fn expected_count(&self, now: Uptime) -> f64 {
        let age_s = now.saturating_sub(self.reported_at).as_secs_f64();
        let belief = 0.5_f64.powf(age_s / REPORT_HALF_LIFE.as_secs_f64());
        f64::from(self.in_flight_count) + self.others_count * belief
    }

    /// Returns how long it has sent nothing although requests are in progress there.
    pub fn silence(&self, now: Uptime) -> Duration {
        if self.in_flight_count == 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.heard_at)
    }

    /// Returns the part of the silence that counts against it.
    pub fn suspicious_silence(&self, now: Uptime) -> Duration {
        self.silence(now).saturating_sub(SUSPICIOUS_SILENCE)
    }

    /// Returns the share of attempts that failed of late.
    pub fn failed_part(&self, now: Uptime) -> f64 {
        let age_s = now.saturating_sub(self.failed_at).as_secs_f64();
        self.failed_part * (-age_s / FAILURE_DECAY_S).exp()
    }

    pub(super) fn begin(&mut self, prompt_tokens: u64, now: Uptime) {
        if self.in_flight_count == 0 {
            self.heard_at = now;
        }
        self.in_flight_count += 1;
        self.pending_prompt_tokens += prompt_tokens;
        self.breaker.begin_attempt();
    }

    pub(super) fn hear(&mut self, now: Uptime) {
        self.heard_at = now;
    }

    pub(super) fn record_load(&mut self, load: ReportedLoad, now: Uptime) {
        let reported = f64::from(load.running_count + load.waiting_count);
        self.others_count = (reported - f64::from(self.in_flight_count)).max(0.0);
        self.reported_at = now;
    }

    pub(super) fn end(&mut self, verdict: AttemptVerdict, now: Uptime) {
        self.in_flight_count = self.in_flight_count.saturating_sub(1);
        let sample = match verdict {
            AttemptVerdict::Succeeded => 0.0,
            AttemptVerdict::Failed => 1.0,
            AttemptVerdict::Neutral => {
                self.breaker.end_attempt(verdict, true, now);
                return;
            }
        };
        self.failed_part =
            self.failed_part(now) * (1.0 - FAILURE_SAMPLE_WEIGHT) + sample * FAILURE_SAMPLE_WEIGHT;
        self.failed_at = now;
        self.breaker.end_attempt(verdict, true, now);
    }
}
