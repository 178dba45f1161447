//! All that the routing table keeps of one backend server.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::circuit_breaker::{BreakerState, CircuitBreaker};
use super::concurrency_limit::{ConcurrencyLimit, LoadSignal};
use super::load_estimate::{EstimateBasis, LoadEstimate};
use super::moving_average::MovingAverage;
use super::server_view::ServerView;
use crate::ids::Timestamp;

/// The place of a server in the routing table.
pub type ServerIndex = u32;
/// The place of a group in the routing table.
pub type GroupIndex = usize;

/// The part of a remote server's slots that one router may use, as a divisor.
const REMOTE_SHARE_DIVISOR: u32 = 4;
/// The least delay of an answer's head that counts as queueing.
const MIN_QUEUEING_DELAY: Duration = Duration::from_millis(10);
/// Grows the least head time by one part in this many per sample, to follow a slower path.
const LEAST_HEAD_GROWTH_DIVISOR: u32 = 256;

/// How much one router lets a backend server run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLimit {
    /// The most requests in progress.
    pub limit_count: u32,
    /// The state of the circuit breaker.
    pub breaker: BreakerState,
}

/// All that the routing table keeps of one backend server.
#[derive(Debug)]
pub struct ServerEntry {
    /// What dumps show.
    pub view: ServerView,
    /// Whether it is in the router's own data centre.
    pub is_local: bool,
    /// The groups that it belongs to.
    pub groups: Vec<GroupIndex>,
    /// Whether the bundle in force names it.
    pub is_listed: bool,
    /// Whether it is in the available sets of its groups.
    pub is_available: bool,
    /// The free places that its groups count.
    pub counted_free_count: u32,
    /// Whether the groups count it as ejected.
    pub is_counted_ejected: bool,
    /// The adaptive limit.
    pub limit: ConcurrencyLimit,
    /// The circuit breaker.
    pub breaker: CircuitBreaker,
    /// The load.
    pub load: LoadEstimate,
    /// Time from sending a streamed request to the head of its answer.
    pub head_time: MovingAverage,
    /// The number of the next cache event.
    pub next_cache_sequence: u64,
    least_head_time: Option<Duration>,
}

impl ServerEntry {
    /// Creates an entry for a server of which nothing is known.
    pub fn new(view: ServerView, is_local: bool, router_count: u32) -> Self {
        let max_count = max_in_flight(&view, is_local);
        let initial_count = if is_local { max_count.div_ceil(router_count.max(1)) } else { 1 };
        Self {
            view,
            is_local,
            groups: Vec::new(),
            is_listed: true,
            is_available: false,
            counted_free_count: 0,
            is_counted_ejected: false,
            limit: ConcurrencyLimit::new(initial_count, max_count),
            breaker: CircuitBreaker::default(),
            load: LoadEstimate::default(),
            head_time: MovingAverage::default(),
            next_cache_sequence: 0,
            least_head_time: None,
        }
    }

    /// Takes over a new description and keeps what was measured.
    pub fn update_view(&mut self, mut view: ServerView, is_local: bool) {
        view.load = self.view.load;
        view.in_flight_count = self.view.in_flight_count;
        view.leaving_since = view.leaving_since.or(self.view.leaving_since);
        self.limit.set_max_count(max_in_flight(&view, is_local));
        self.view = view;
        self.is_local = is_local;
        self.is_listed = true;
    }

    /// Takes the server out of its groups, until a bundle names it again.
    pub fn leave_groups(&mut self) {
        self.groups.clear();
        self.is_listed = false;
        self.is_available = false;
        self.counted_free_count = 0;
        self.is_counted_ejected = false;
    }

    /// Returns whether nothing has to be known of the server any more.
    pub fn is_gone(&self) -> bool {
        !self.is_listed && self.view.in_flight_count == 0
    }

    /// Returns how many more requests may go to the server.
    pub fn free_count(&self) -> u32 {
        if self.view.leaving_since.is_some() || !self.breaker.allows_attempt() {
            return 0;
        }
        let free_count = self.limit.count().saturating_sub(self.view.in_flight_count);
        if self.breaker.is_ejected() { free_count.min(1) } else { free_count }
    }

    /// Returns the estimated requests per slot, in thousandths.
    pub fn load_per_mille(&self, basis: &EstimateBasis) -> u64 {
        self.load.expected_per_mille(basis) / u64::from(self.view.slot_count.max(1))
    }

    /// Returns whether a signal may change the limit: a prompt answer shows no spare capacity while
    /// all routers together fill the server.
    pub fn believes(&self, signal: LoadSignal, now: Timestamp) -> bool {
        signal != LoadSignal::Prompt || self.load.reported_count(now) < self.view.slot_count
    }

    /// Reads from the head time of a streamed answer whether the request waited at the server.
    pub fn read_head_time(&mut self, head_time: Duration) -> LoadSignal {
        self.head_time.record(head_time);
        let least = self.least_head_time.unwrap_or(head_time);
        let grown = least + least / LEAST_HEAD_GROWTH_DIVISOR;
        let least = grown.min(head_time);
        self.least_head_time = Some(least);
        let is_queueing = head_time > least * 2 + MIN_QUEUEING_DELAY;
        if is_queueing { LoadSignal::Queueing } else { LoadSignal::Prompt }
    }
}

fn max_in_flight(view: &ServerView, is_local: bool) -> u32 {
    if is_local { view.slot_count } else { view.slot_count / REMOTE_SHARE_DIVISOR }
}
