//! The permits of one backend server that names a limit, as issued by one VM.
//!
//! A permit is the right to send the server one request. A token bucket fills at the issuer's share
//! of the limit. Requests that may wait for a permit queue by priority, and then in order of
//! arrival. A request that would wait too long is refused at once and told when to return, later
//! for each further one.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Uptime;

/// The permits that a full bucket holds at the whole limit, beyond those of [`BURST_TIME`].
const BURST_PERMITS: f64 = 2.0;
/// The time whose permits a full bucket holds in addition.
const BURST_TIME: Duration = Duration::from_millis(100);
/// The lowest rate of permits. Only a response of the server can say that its limit has ended, so a
/// server that takes no requests still gets one at times.
const MIN_PERMITS_PER_S: f64 = 0.1;
/// The longest time after which a refused request is told to return.
const MAX_RETURN_TIME: Duration = Duration::from_secs(10);

/// Identifies a request that waits for a permit; the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PermitTicket {
    priority: u8,
    number: u64,
}

/// The rate at which an issuer may issue permits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitRate {
    /// The limit of the server, in requests per second from all VMs.
    pub limit_per_s: f64,
    /// The part of the limit that this issuer may use.
    pub share: f64,
}

impl PermitRate {
    fn per_s(&self) -> f64 {
        self.share * self.limit_per_s.max(MIN_PERMITS_PER_S)
    }

    fn burst(&self) -> f64 {
        (self.share * BURST_PERMITS).max(1.0) + self.per_s() * BURST_TIME.as_secs_f64()
    }

    fn time_for(&self, permits: f64) -> Duration {
        Duration::from_secs_f64(permits.max(0.0) / self.per_s())
    }
}

/// The answer to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// The request may be sent.
    Issued,
    /// The request waits under this ticket.
    Waits(PermitTicket),
    /// The request gets no permit in time.
    Refused {
        /// The time until the next permit for a request without priority over those that wait.
        next_in: Duration,
        /// The time until a permit that is not expected to be taken by requests that were refused
        /// before.
        return_in: Duration,
    },
}

/// The permits of one backend server, as issued by one VM.
#[derive(Debug)]
pub struct PermitBucket {
    available: f64,
    refilled_at: Uptime,
    waiting: BTreeSet<PermitTicket>,
    ticket_count: u64,
    promised_until: Uptime,
}

impl PermitBucket {
    /// Creates an empty bucket: another VM may just have issued permits of the same server.
    pub fn new(now: Uptime) -> Self {
        Self {
            available: 0.0,
            refilled_at: now,
            waiting: BTreeSet::new(),
            ticket_count: 0,
            promised_until: Uptime::ZERO,
        }
    }

    /// Requests a permit; the request may wait up to `max_wait`, with 0 as the most urgent
    /// priority.
    pub fn request(
        &mut self,
        rate: PermitRate,
        priority: u8,
        max_wait: Duration,
        now: Uptime,
    ) -> PermitDecision {
        self.refill(rate, now);
        if self.waiting.is_empty() && self.take() {
            return PermitDecision::Issued;
        }
        let ahead_count = self.waiting.iter().filter(|other| other.priority <= priority).count();
        if rate.time_for(ahead_count as f64 + 1.0 - self.available) <= max_wait {
            self.ticket_count += 1;
            let ticket = PermitTicket { priority, number: self.ticket_count };
            self.waiting.insert(ticket);
            return PermitDecision::Waits(ticket);
        }
        let (next_in, return_in) = self.refuse(rate, now);
        PermitDecision::Refused { next_in, return_in }
    }

    /// Takes a permit for a request that waits, if it is its turn; otherwise returns the time until
    /// the next permit.
    ///
    /// # Errors
    ///
    /// Fails with that time.
    pub fn take_waiting(
        &mut self,
        ticket: PermitTicket,
        rate: PermitRate,
        now: Uptime,
    ) -> Result<(), Duration> {
        self.refill(rate, now);
        if self.waiting.first() == Some(&ticket) && self.take() {
            self.waiting.remove(&ticket);
            return Ok(());
        }
        Err(rate.time_for(1.0 - self.available))
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, ticket: PermitTicket) {
        self.waiting.remove(&ticket);
    }

    /// Refuses a request, which may have waited, and reserves the time at which it is to return.
    ///
    /// Returns the times `next_in` and `return_in` of [`PermitDecision::Refused`].
    pub fn refuse(&mut self, rate: PermitRate, now: Uptime) -> (Duration, Duration) {
        self.refill(rate, now);
        let next_in = rate.time_for(self.waiting.len() as f64 + 1.0 - self.available);
        let return_at = self.promised_until.max(now.saturating_add(next_in));
        let return_at = return_at.min(now + MAX_RETURN_TIME);
        self.promised_until = return_at + rate.time_for(1.0);
        (next_in, return_at.saturating_sub(now))
    }

    fn refill(&mut self, rate: PermitRate, now: Uptime) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed_s * rate.per_s()).min(rate.burst());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn take(&mut self) -> bool {
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}
