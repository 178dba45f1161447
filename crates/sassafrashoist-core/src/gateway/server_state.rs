//! The state that the server directory maintains for one backend server.

use std::time::Duration;

use super::Uptime;
use super::prompt_backlog::PromptBacklog;
use super::server_directory::ServerRequirements;
use super::server_listing::ServerListing;
use super::server_silence::SILENT_TIME;
use super::server_speed::ServerSpeed;
use super::warm_up::WarmUpState;
use crate::routing::circuit_breaker::{AttemptVerdict, CircuitBreaker};
use crate::routing::server_limit::ServerLimit;

/// The half-life of the weight of a server's load report.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(700);
/// The time without a byte from a server, while it has requests in progress, after which it is used
/// only if all servers are unresponsive.
const UNRESPONSIVE_LIMIT: Duration = Duration::from_millis(1_200);
/// The time without a byte from a server, while it has requests in progress, that does not add to
/// its cost.
const TOLERATED_UNRESPONSIVE_TIME: Duration = Duration::from_millis(300);
/// The weight of one finished attempt in the failure rate.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.2;
/// The time within which a failure rate decays to 1/e.
const FAILURE_DECAY_S: f64 = 6.0;

/// The part of the slots of a brittle server up to which requests are sent to it.
const BRITTLE_LOAD: f64 = 0.85;
/// How long a load report of a brittle server counts in full.
const BRITTLE_REPORT_TIME: Duration = Duration::from_secs(1);
/// The part of the rejections that a brittle server tolerates which all VMs together may cause.
const BRITTLE_MARGIN: f64 = 0.4;
/// The mean pause after a brittle server turned a request of another VM away.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(60);
/// The longest mean pause after a brittle server turned a request of this VM away.
const MAX_BRITTLE_PAUSE: Duration = Duration::from_secs(5);
/// How long a server counts as brittle after it said so; VMs that do not use it get no response that
/// ends it.
const BRITTLE_TIME: Duration = Duration::from_secs(60);
/// How long after a rejection a brittle server gets one request at a time from a VM.
const BRITTLE_CAUTION_TIME: Duration = Duration::from_secs(5);

/// The load that a server reported in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The number of requests that are running.
    pub running_count: u32,
    /// The number of requests that wait in the server's queue.
    pub waiting_count: u32,
    /// The number of requests that the server can run concurrently.
    pub slot_count: u32,
    /// How long work takes at present, in percent of the usual time, if the server says so.
    pub slowness_percent: Option<u32>,
}

/// Whose request a server turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectedBy {
    /// A request of this VM, one of so many.
    ThisVm {
        /// The number of VMs of the fleet.
        vm_count: usize,
    },
    /// A request of another VM.
    AnotherVm,
}

/// The state that the server directory maintains for one backend server.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// The server's entry in the platform's list.
    pub listing: ServerListing,
    /// When this incarnation of the server was first seen in the platform's list.
    pub listed_at: Uptime,
    /// When the server left the platform's list; `None` while it is listed.
    pub unlisted_at: Option<Uptime>,
    /// When a response of the server first said that it leaves.
    pub leaving_since: Option<Uptime>,
    /// Whether a connection to the server failed since its entry was last read, so that it may have
    /// started again under its id.
    pub(super) has_refused_connection: bool,
    pause_ends_at: Uptime,
    /// The limit that the server names in its responses.
    pub limit: ServerLimit,
    /// Whether the server is cold.
    pub(super) warm_up: WarmUpState,
    /// How many requests the server can turn away in a second, from all VMs together, without
    /// failing; `None` if it does not say so.
    pub max_rejections_per_s: Option<u32>,
    brittle_said_at: Uptime,
    /// Whether this VM is one of the few that use the server while it is brittle.
    pub(super) is_used_while_brittle: bool,
    /// When that was found out last.
    pub(super) brittle_use_found_at: Uptime,
    rejected_at: Option<Uptime>,
    /// Attempts whose response has not started.
    pending_count: u32,
    next_permit_at: Uptime,
    pub(super) breaker: CircuitBreaker,
    pub(super) in_flight_count: u32,
    pub(super) pending_prefill_tokens: u64,
    /// The speed of the server; `None` if it has never reported its slowness.
    pub(super) speed: Option<ServerSpeed>,
    pub(super) backlog: PromptBacklog,
    other_vms_request_count: f64,
    reported_at: Uptime,
    last_activity_at: Uptime,
    last_bytes_at: Option<Uptime>,
    failure_rate: f64,
    failure_rate_at: Uptime,
}

impl ServerState {
    /// Creates the state of a server that has just been listed.
    pub fn new(listing: ServerListing, now: Uptime) -> Self {
        Self {
            speed: None,
            backlog: PromptBacklog::default(),
            listing,
            listed_at: now,
            unlisted_at: None,
            has_refused_connection: false,
            leaving_since: None,
            pause_ends_at: Uptime::ZERO,
            limit: ServerLimit::default(),
            warm_up: WarmUpState::default(),
            max_rejections_per_s: None,
            brittle_said_at: now,
            is_used_while_brittle: true,
            brittle_use_found_at: now,
            rejected_at: None,
            pending_count: 0,
            next_permit_at: Uptime::ZERO,
            breaker: CircuitBreaker::default(),
            in_flight_count: 0,
            pending_prefill_tokens: 0,
            other_vms_request_count: 0.0,
            reported_at: Uptime::ZERO,
            last_activity_at: now,
            last_bytes_at: None,
            failure_rate: 0.0,
            failure_rate_at: now,
        }
    }

    /// Returns whether a listing is of this incarnation of the server.
    pub(super) fn is_same_incarnation(&self, listing: &ServerListing) -> bool {
        self.listing.started_at_unix_ms == listing.started_at_unix_ms
            && self.listing.address == listing.address
            && self.listing.software_version == listing.software_version
    }

    /// Returns whether the server is listed and neither drains nor leaves.
    pub fn accepts_requests(&self) -> bool {
        self.unlisted_at.is_none() && self.leaving_since.is_none() && !self.listing.is_draining
    }

    /// Returns since when the server is known to stop, by its responses or the platform's list;
    /// `None` while it is not.
    pub fn ending_since(&self) -> Option<Uptime> {
        [self.unlisted_at, self.leaving_since].into_iter().flatten().min()
    }

    /// Returns whether the server has been known to stop for less than `time`.
    pub(super) fn is_ending_recently(&self, time: Duration, now: Uptime) -> bool {
        self.ending_since().is_some_and(|at| now < at + time)
    }

    /// Returns whether a request may be sent to the server as far as the requirements and a pause
    /// of the server are concerned.
    pub(super) fn may_take(&self, requirements: &ServerRequirements, now: Uptime) -> bool {
        self.fits(requirements)
            && !requirements.excluded.contains(&self.listing.id)
            && !(requirements.excludes_limited && self.limit_per_s(now).is_some())
            && self.pause_left(now).is_zero()
            && !(self.is_brittle(now) && self.may_reject(now))
    }

    /// Returns whether the server is of the pool and the software version that a request requires.
    pub(super) fn fits(&self, requirements: &ServerRequirements) -> bool {
        self.listing.pool_id == requirements.pool_id
            && requirements
                .software_version
                .as_ref()
                .is_none_or(|version| *version == self.listing.software_version)
    }

    /// Returns whether the server fails after a few rejections, as far as it is known.
    fn is_brittle(&self, now: Uptime) -> bool {
        self.max_rejections_per_s.is_some() && now < self.brittle_said_at + BRITTLE_TIME
    }

    /// Returns whether this VM uses the server, which few VMs do while it is brittle.
    pub(super) fn is_used(&self, now: Uptime) -> bool {
        !self.is_brittle(now) || self.is_used_while_brittle
    }

    /// Records how many rejections a second the server says that it tolerates; returns whether that is
    /// new.
    pub(super) fn record_brittle(
        &mut self,
        max_rejections_per_s: Option<u32>,
        now: Uptime,
    ) -> bool {
        let is_new = self.max_rejections_per_s != max_rejections_per_s;
        self.max_rejections_per_s = max_rejections_per_s;
        self.brittle_said_at = now;
        if max_rejections_per_s.is_none() && is_new {
            self.rejected_at = None;
            self.pause_ends_at = now;
        }
        is_new
    }

    /// Returns whether a server that fails after a few rejections may turn a request away.
    fn may_reject(&self, now: Uptime) -> bool {
        let is_rejecting = self.rejected_at.is_some_and(|at| now < at + BRITTLE_CAUTION_TIME);
        let others = if now < self.reported_at + BRITTLE_REPORT_TIME {
            self.other_vms_request_count
        } else {
            0.0
        };
        let load = f64::from(self.in_flight_count) + others;
        let slots = f64::from(self.listing.slot_count.max(1));
        (is_rejecting && self.pending_count > 0) || load + 1.0 > (slots * BRITTLE_LOAD).max(1.0)
    }

    /// Returns how long the server still wants no requests; zero if it takes them.
    pub fn pause_left(&self, now: Uptime) -> Duration {
        self.pause_ends_at.saturating_sub(now)
    }

    /// Returns the requests per second that the server takes from all VMs together, as it names a limit
    /// or is cold; `None` if it has no limit.
    pub fn limit_per_s(&self, now: Uptime) -> Option<f64> {
        [self.limit.per_s(), self.warm_up.limit_per_s(now)].into_iter().flatten().reduce(f64::min)
    }

    /// Returns how long the server stays cold; zero if it is warm.
    pub fn warm_up_left(&self, now: Uptime) -> Duration {
        self.warm_up.left(now)
    }

    /// Returns how long no permit for the server can be obtained; zero if it names no limit.
    pub fn permit_wait(&self, now: Uptime) -> Duration {
        match self.limit_per_s(now) {
            Some(_) => self.next_permit_at.saturating_sub(now),
            None => Duration::ZERO,
        }
    }

    /// Returns whether the server is expected to respond: its circuit breaker allows an attempt and
    /// it has not been unresponsive for too long.
    pub fn is_responsive(&self, now: Uptime) -> bool {
        self.breaker.allows_attempt() && self.unresponsive_time(now) < UNRESPONSIVE_LIMIT
    }

    /// Estimates the number of requests of all VMs on the server.
    pub fn expected_request_count(&self, now: Uptime) -> f64 {
        let age_s = now.saturating_sub(self.reported_at).as_secs_f64();
        let report_weight = 0.5_f64.powf(age_s / REPORT_HALF_LIFE.as_secs_f64());
        f64::from(self.in_flight_count) + self.other_vms_request_count * report_weight
    }

    /// Returns how long the server has sent nothing although it has requests in progress.
    pub fn unresponsive_time(&self, now: Uptime) -> Duration {
        if self.in_flight_count == 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.last_activity_at)
    }

    /// Returns by how much the unresponsive time exceeds the tolerated time.
    pub fn excess_unresponsive_time(&self, now: Uptime) -> Duration {
        self.unresponsive_time(now).saturating_sub(TOLERATED_UNRESPONSIVE_TIME)
    }

    /// Returns the fraction of recent attempts that failed; newer attempts weigh more.
    pub fn failure_rate(&self, now: Uptime) -> f64 {
        let age_s = now.saturating_sub(self.failure_rate_at).as_secs_f64();
        self.failure_rate * (-age_s / FAILURE_DECAY_S).exp()
    }

    pub(super) fn begin_attempt(&mut self, prefill_tokens: u64, now: Uptime) {
        if self.in_flight_count == 0 {
            self.last_activity_at = now;
        }
        self.in_flight_count += 1;
        self.pending_count += 1;
        self.pending_prefill_tokens += prefill_tokens;
        self.breaker.begin_attempt();
    }

    /// Returns when bytes of the server arrived last, or it got a request while it had none.
    pub fn last_activity_at(&self) -> Uptime {
        self.last_activity_at
    }

    /// Returns when bytes of the server arrived last; `None` if none did.
    pub(super) fn last_bytes_at(&self) -> Option<Uptime> {
        self.last_bytes_at
    }

    /// Returns whether the server has requests in progress and has sent nothing for
    /// [`SILENT_TIME`].
    pub(super) fn is_silent(&self, now: Uptime) -> bool {
        self.unresponsive_time(now) >= SILENT_TIME
    }

    /// Forgets failures of attempts that were due to the path of this VM.
    pub(super) fn forget_failures(&mut self) {
        self.breaker = CircuitBreaker::default();
        self.failure_rate = 0.0;
        self.has_refused_connection = false;
    }

    pub(super) fn record_activity(&mut self, now: Uptime) {
        self.last_activity_at = now;
        self.last_bytes_at = Some(now);
    }

    /// Records that the response of an attempt started, or that there is none.
    pub(super) fn end_pending(&mut self, prefill_tokens: u64) {
        self.pending_count = self.pending_count.saturating_sub(1);
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Records that the server turned a request away; returns for how long this VM sends it none, if
    /// the server says that it fails after a few rejections. `random` is from 0 to 1.
    ///
    /// A VM stays within its share of the rejections by its own; those of others say that the server
    /// has no room now.
    pub(super) fn record_rejection(
        &mut self,
        by: RejectedBy,
        random: f64,
        now: Uptime,
    ) -> Option<Duration> {
        let max_per_s = f64::from(self.max_rejections_per_s?.max(1)) * BRITTLE_MARGIN;
        let pause = match by {
            RejectedBy::ThisVm { vm_count } => {
                Duration::from_secs_f64(vm_count.max(1) as f64 / max_per_s).min(MAX_BRITTLE_PAUSE)
            }
            RejectedBy::AnotherVm => NO_ROOM_PAUSE,
        };
        let pause = pause.mul_f64(0.5 + random);
        self.rejected_at = Some(now);
        self.record_pause(pause, now);
        Some(pause)
    }

    pub(super) fn record_pause(&mut self, pause: Duration, now: Uptime) {
        self.pause_ends_at = self.pause_ends_at.max(now.saturating_add(pause));
    }

    pub(super) fn record_next_permit(&mut self, at: Uptime) {
        self.next_permit_at = at;
    }

    pub(super) fn record_load(&mut self, load: ReportedLoad, now: Uptime) {
        let reported = f64::from(load.running_count + load.waiting_count);
        self.other_vms_request_count = (reported - f64::from(self.in_flight_count)).max(0.0);
        self.reported_at = now;
    }

    pub(super) fn end_attempt(&mut self, verdict: AttemptVerdict, now: Uptime) {
        self.in_flight_count = self.in_flight_count.saturating_sub(1);
        let sample = match verdict {
            AttemptVerdict::Succeeded => 0.0,
            AttemptVerdict::Failed => 1.0,
            AttemptVerdict::Neutral => {
                self.breaker.end_attempt(verdict, true, now);
                return;
            }
        };
        self.failure_rate =
            self.failure_rate(now) * (1.0 - FAILURE_SAMPLE_WEIGHT) + sample * FAILURE_SAMPLE_WEIGHT;
        self.failure_rate_at = now;
        self.breaker.end_attempt(verdict, true, now);
    }
}
