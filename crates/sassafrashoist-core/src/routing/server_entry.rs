//! The routing table's entry for one backend server.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::circuit_breaker::{BreakerState, CircuitBreaker};
use super::concurrency_limit::{ConcurrencyLimit, LoadSignal};
use super::load_estimate::{EstimateInputs, LoadEstimate};
use super::moving_average::MovingAverage;
use super::server_view::ServerView;
use crate::ids::Timestamp;

/// Index of a server in the routing table.
pub type ServerIndex = u32;
/// Index of a group in the routing table.
pub type GroupIndex = usize;

/// One router may use one slot in this many of a remote server.
const REMOTE_SHARE_DIVISOR: u32 = 4;
/// A response whose head takes longer than twice the minimum head time plus this delay counts as
/// queueing.
const MIN_QUEUEING_DELAY: Duration = Duration::from_millis(10);
/// The minimum head time grows by one part in this many per sample, so that it adapts when the path
/// to the server becomes slower.
const MIN_HEAD_TIME_GROWTH_DIVISOR: u32 = 256;

/// One router's limit on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLimit {
    /// The most requests that the router may have in progress on the server.
    pub limit_count: u32,
    /// The state of the circuit breaker.
    pub breaker: BreakerState,
}

/// The routing table's entry for one backend server.
#[derive(Debug)]
pub struct ServerEntry {
    /// The part of the entry that state dumps show.
    pub view: ServerView,
    /// Whether it is in the router's own data centre.
    pub is_local: bool,
    /// The groups that the server belongs to.
    pub groups: Vec<GroupIndex>,
    /// Whether the active bundle lists it.
    pub is_listed: bool,
    /// Whether it is in the available sets of its groups.
    pub is_available: bool,
    /// Its free slots as included in the totals of its groups.
    pub counted_free_slot_count: u32,
    /// Whether its groups count it as ejected.
    pub is_counted_ejected: bool,
    /// This router's adaptive limit on the server.
    pub limit: ConcurrencyLimit,
    /// The circuit breaker.
    pub breaker: CircuitBreaker,
    /// The load estimate.
    pub load: LoadEstimate,
    /// Average time from sending a streamed request to the head of its response.
    pub head_time: MovingAverage,
    /// The sequence number of the next cache event.
    pub next_cache_sequence: u64,
    min_head_time: Option<Duration>,
}

impl ServerEntry {
    /// Creates an entry for a new server.
    pub fn new(view: ServerView, is_local: bool, router_count: u32) -> Self {
        let max_count = max_in_flight(&view, is_local);
        let initial_count = if is_local { max_count.div_ceil(router_count.max(1)) } else { 1 };
        Self {
            view,
            is_local,
            groups: Vec::new(),
            is_listed: true,
            is_available: false,
            counted_free_slot_count: 0,
            is_counted_ejected: false,
            limit: ConcurrencyLimit::new(initial_count, max_count),
            breaker: CircuitBreaker::default(),
            load: LoadEstimate::default(),
            head_time: MovingAverage::default(),
            next_cache_sequence: 0,
            min_head_time: None,
        }
    }

    /// Replaces the server's description and keeps its measured state.
    pub fn update_view(&mut self, mut view: ServerView, is_local: bool) {
        view.load = self.view.load;
        view.in_flight_count = self.view.in_flight_count;
        view.leaving_since = view.leaving_since.or(self.view.leaving_since);
        self.limit.set_max_count(max_in_flight(&view, is_local));
        self.view = view;
        self.is_local = is_local;
        self.is_listed = true;
    }

    /// Removes the server from its groups until a bundle lists it again.
    pub fn leave_groups(&mut self) {
        self.groups.clear();
        self.is_listed = false;
        self.is_available = false;
        self.counted_free_slot_count = 0;
        self.is_counted_ejected = false;
    }

    /// Returns whether the server is unlisted and has no requests of this router, so that its entry
    /// can be removed.
    pub fn is_removable(&self) -> bool {
        !self.is_listed && self.view.in_flight_count == 0
    }

    /// Returns how many more requests this router may send to the server.
    pub fn free_slot_count(&self) -> u32 {
        if self.view.leaving_since.is_some() || !self.breaker.allows_attempt() {
            return 0;
        }
        let free_slot_count = self.limit.count().saturating_sub(self.view.in_flight_count);
        if self.breaker.is_ejected() { free_slot_count.min(1) } else { free_slot_count }
    }

    /// Returns the estimated requests per slot, in thousandths.
    pub fn load_per_mille(&self, inputs: &EstimateInputs) -> u64 {
        self.load.estimated_requests_per_mille(inputs) / u64::from(self.view.slot_count.max(1))
    }

    /// Returns whether a signal may change the limit: a response without queueing does not show
    /// surplus capacity while all routers together fill the server.
    pub fn may_apply_signal(&self, signal: LoadSignal, now: Timestamp) -> bool {
        signal != LoadSignal::NoQueueing || self.load.total_count(now) < self.view.slot_count
    }

    /// Determines from the time to the head of a streamed response whether the request waited at
    /// the server.
    pub fn classify_head_time(&mut self, head_time: Duration) -> LoadSignal {
        self.head_time.record(head_time);
        let minimum = self.min_head_time.unwrap_or(head_time);
        let grown = minimum + minimum / MIN_HEAD_TIME_GROWTH_DIVISOR;
        let minimum = grown.min(head_time);
        self.min_head_time = Some(minimum);
        let is_queueing = head_time > minimum * 2 + MIN_QUEUEING_DELAY;
        if is_queueing { LoadSignal::Queueing } else { LoadSignal::NoQueueing }
    }
}

fn max_in_flight(view: &ServerView, is_local: bool) -> u32 {
    if is_local { view.slot_count } else { view.slot_count / REMOTE_SHARE_DIVISOR }
}
