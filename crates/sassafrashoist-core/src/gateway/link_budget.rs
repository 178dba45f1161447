//! Which requests a VM admits so that its link is not saturated.
//!
//! Load answered: the load balancer selects the VM of a connection by a hash of the caller, so that the
//! callers of one large account may reach one VM with a small link while its neighbours are idle. Each
//! request moves its body and its response through the link once in each direction. Beyond what the link
//! carries, all requests of the VM wait in its queues until none is served in time.
//!
//! A request that is refused has moved its body to this VM all the same, so that refusals alone do not keep
//! the link free. While there is no room the VM therefore refuses connections before anything is sent on
//! them, and it tells the load balancer that it is not ready if that goes on.
//!
//! The backlog is a leaky bucket: each admitted request adds the bytes that it is expected to move, and
//! the link drains them.

use std::collections::HashMap;
use std::time::Duration;

use super::Uptime;
use super::flow_rate::FlowRate;
use super::link_delay::LinkDelay;
use crate::ids::RouteId;

/// The part of the bandwidth that requests may use; the rest is for control traffic, retransmissions and
/// errors of the estimate.
const USABLE_FRACTION: f64 = 0.8;
/// The bytes of a request in one direction beside its body and that of its response: two heads, the
/// opening of a connection and the headers of packets.
const OVERHEAD_BYTES: u64 = 800;
/// The response that is expected of a route without a response so far.
const INITIAL_RESPONSE_BYTES: f64 = 4_096.0;
/// The weight of one response in the moving average of its route.
const RESPONSE_SAMPLE_WEIGHT: f64 = 0.05;
/// The most routes whose responses are known. Others count as without a response.
const MAX_ROUTES: usize = 4_096;
/// The part of the shortest target latency for which requests of the highest priority may wait for the
/// link. The rest is for the server.
const URGENT_WAIT_FRACTION: f64 = 0.5;
/// The same for all other requests, so that urgent ones find room.
const WAIT_FRACTION: f64 = 0.25;
/// The priority of urgent requests.
const URGENT_PRIORITY: u8 = 0;
/// The part of the time until its deadline for which a request may wait for the link where no other VM
/// could serve it.
const ONLY_VM_WAIT_FRACTION: f64 = 0.25;
/// The part of the shortest target latency for which packets may wait at the link. A request waits there
/// several times: for its connection, its body and its response.
const DELAY_FRACTION: f64 = 0.1;
/// The part of the bandwidth that requests must use for delays to be put down to the link.
const MIN_BUSY_FRACTION: f64 = 0.3;
/// The time in which the use of the link decays to 1/e.
const USE_DECAY_S: f64 = 1.0;
/// The shortest and the longest time for which no connections are accepted: long enough for some requests
/// to leave the link, and short against the time after which callers give a connection up.
const MIN_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(200);
/// The part of the last seconds without room that shows that the VM has more callers than its link carries.
const OVERLOADED_FRACTION: f64 = 0.15;
/// The time in which the time without room decays to 1/e.
const PAUSE_DECAY_S: f64 = 1.5;
/// How long after a refusal the link counts as full.
const FULL_TIME: Duration = Duration::from_millis(500);

/// What a request requires of the link.
#[derive(Debug, Clone, Copy)]
pub struct LinkDemand<'a> {
    /// The route of the request.
    pub route_id: &'a RouteId,
    /// The length of the request body.
    pub body_bytes: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The time until the deadline of the request.
    pub time_left: Duration,
    /// The shortest target latency of all routes.
    pub shortest_target_latency: Duration,
}

/// The link has no room for a request within its target latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkFull {
    /// The time that the requests in progress keep the link busy.
    pub backlog: Duration,
    /// How long packets wait at the link.
    pub delay: Duration,
}

/// Which requests a VM admits so that its link is not saturated.
#[derive(Debug, Default)]
pub struct LinkBudget {
    bytes_per_s: Option<f64>,
    backlog_bytes: f64,
    drained_at: Uptime,
    response_bytes: HashMap<RouteId, f64>,
    refused_at: Option<Uptime>,
    used_bytes: FlowRate,
    paused_ms: FlowRate,
    /// How long packets wait at the link.
    pub delay: LinkDelay,
}

impl LinkBudget {
    /// Sets the bandwidth of the link, in bits per second; `None` if it is not limited.
    pub fn set_bandwidth(&mut self, bits_per_s: Option<u64>) {
        self.bytes_per_s = bits_per_s.map(|bits| bits as f64 / 8.0 * USABLE_FRACTION);
    }

    /// Admits a request if the link has room for it, and counts the bytes that it will move.
    ///
    /// `has_neighbours` says whether another VM of the data centre could serve a retry. Without one, the
    /// request is admitted as long as it can still be served before its deadline.
    ///
    /// # Errors
    ///
    /// Fails if the link has no room.
    pub fn admit(
        &mut self,
        demand: &LinkDemand<'_>,
        has_neighbours: impl FnOnce() -> bool,
        now: Uptime,
    ) -> Result<(), LinkFull> {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return Ok(());
        };
        self.drain(bytes_per_s, now);
        let cost_bytes = demand.body_bytes as f64 + self.expected_response(demand.route_id);
        let is_urgent = demand.priority == URGENT_PRIORITY;
        let fraction = if is_urgent { URGENT_WAIT_FRACTION } else { WAIT_FRACTION };
        let max_bytes = demand.shortest_target_latency.as_secs_f64() * fraction * bytes_per_s;
        let delay = self.delay.current(now);
        let is_congested = self.is_congested(bytes_per_s, demand.shortest_target_latency, now);
        self.used_bytes.add(cost_bytes as u64, USE_DECAY_S, now);
        // A request that is longer than all that may wait is admitted once little else does.
        let has_room = !is_congested
            && (self.backlog_bytes + cost_bytes <= max_bytes
                || self.backlog_bytes <= max_bytes / 2.0);
        let is_served = || {
            let max_wait = demand.time_left.mul_f64(ONLY_VM_WAIT_FRACTION);
            self.backlog_bytes <= max_wait.as_secs_f64() * bytes_per_s
        };
        if has_room || (!has_neighbours() && is_served()) {
            self.backlog_bytes += cost_bytes;
            return Ok(());
        }
        self.refused_at = Some(now);
        let backlog = Duration::from_secs_f64(self.backlog_bytes / bytes_per_s);
        // The caller sends the body all the same, but bodies of refused requests alone keep out no others.
        let with_body = self.backlog_bytes + demand.body_bytes as f64;
        self.backlog_bytes = with_body.min(max_bytes / 2.0).max(self.backlog_bytes);
        Err(LinkFull { backlog, delay })
    }

    /// Returns for how long no connections of callers are to be accepted, if the link has no room for their
    /// requests now.
    pub fn accept_pause(
        &mut self,
        shortest_target_latency: Duration,
        now: Uptime,
    ) -> Option<Duration> {
        let bytes_per_s = self.bytes_per_s?;
        self.drain(bytes_per_s, now);
        let max_wait = shortest_target_latency.mul_f64(WAIT_FRACTION);
        let wait = Duration::from_secs_f64(self.backlog_bytes / bytes_per_s);
        let is_congested = self.is_congested(bytes_per_s, shortest_target_latency, now);
        if wait <= max_wait && !is_congested {
            return None;
        }
        let congested = if is_congested { self.delay.current(now) } else { Duration::ZERO };
        let pause = wait.saturating_sub(max_wait / 2).max(congested).clamp(MIN_PAUSE, MAX_PAUSE);
        self.refused_at = Some(now);
        self.paused_ms.add(pause.as_millis() as u64, PAUSE_DECAY_S, now);
        Some(pause)
    }

    /// Returns whether the VM has had no room for much of the last seconds.
    pub fn is_overloaded(&self, now: Uptime) -> bool {
        self.paused_ms.per_second(PAUSE_DECAY_S, now) / 1_000.0 > OVERLOADED_FRACTION
    }

    fn is_congested(
        &mut self,
        bytes_per_s: f64,
        shortest_target_latency: Duration,
        now: Uptime,
    ) -> bool {
        let is_busy =
            self.used_bytes.per_second(USE_DECAY_S, now) > bytes_per_s * MIN_BUSY_FRACTION;
        is_busy && self.delay.current(now) > shortest_target_latency.mul_f64(DELAY_FRACTION)
    }

    /// Records how many bytes the body of a response had, with the framing of its pieces.
    pub fn record_response(&mut self, route_id: &RouteId, bytes: u64) {
        let is_known = self.response_bytes.contains_key(route_id);
        if !is_known && self.response_bytes.len() >= MAX_ROUTES {
            self.response_bytes.clear();
        }
        let sample = bytes as f64;
        let expected = self.response_bytes.entry(route_id.clone()).or_insert(sample);
        *expected += RESPONSE_SAMPLE_WEIGHT * (sample - *expected);
    }

    /// Returns whether a request was refused lately because the link had no room.
    pub fn is_full(&self, now: Uptime) -> bool {
        self.refused_at.is_some_and(|at| now < at + FULL_TIME)
    }

    /// Returns the time that the requests in progress keep the link busy.
    pub fn backlog(&mut self, now: Uptime) -> Duration {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return Duration::ZERO;
        };
        self.drain(bytes_per_s, now);
        Duration::from_secs_f64(self.backlog_bytes / bytes_per_s)
    }

    fn expected_response(&self, route_id: &RouteId) -> f64 {
        let expected = self.response_bytes.get(route_id).copied();
        expected.unwrap_or(INITIAL_RESPONSE_BYTES) + OVERHEAD_BYTES as f64
    }

    fn drain(&mut self, bytes_per_s: f64, now: Uptime) {
        let elapsed_s = now.saturating_sub(self.drained_at).as_secs_f64();
        self.backlog_bytes = (self.backlog_bytes - elapsed_s * bytes_per_s).max(0.0);
        self.drained_at = now;
    }
}
