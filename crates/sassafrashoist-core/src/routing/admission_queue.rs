//! The queue of requests that wait for a backend server.
//!
//! Admission depends on the estimated queueing delay: a request that would still be queued at its
//! `give_up_at` time is refused at once. The estimate assumes that a priority gets the service rate
//! that remains after the recent arrivals of more urgent requests. More urgent priorities are
//! served first. Within a priority, deficit round robin shares the service among accounts by cost.
//! The estimate counts only those requests of other accounts that would be served earlier, so a
//! long queue of one account neither delays the requests of others nor causes their refusal.

use std::collections::VecDeque;
use std::time::Duration;

use super::rate_meter::RateMeter;
use crate::ids::{ClientAccountId, Timestamp, Tokens};

/// Identifies a queued request.
pub type Ticket = u64;

/// Number of priorities: 0 (most urgent) to 9.
pub const PRIORITY_COUNT: usize = 10;
/// The most requests in one queue.
pub const MAX_QUEUED_REQUESTS: usize = 1_024;
/// Cost that an account may send per turn of the deficit round robin.
const QUANTUM_TOKENS: Tokens = 1_024;
/// Cap on the cost of a request, so that every request is sent after a bounded number of turns.
const MAX_COST_TOKENS: Tokens = 16 * QUANTUM_TOKENS;
/// The smallest fraction of the service rate that an estimate assumes to remain for a priority.
const MIN_REMAINING_RATE_FRACTION: f64 = 0.02;
/// The shortest retry delay sent to a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The longest retry delay sent to a refused caller, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);

/// A request that waits for a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the request in its queue.
    pub ticket: Ticket,
    /// The client account that it belongs to.
    pub account_id: ClientAccountId,
    /// Its priority, 0 (most urgent) to 9.
    pub priority: u8,
    /// Upper bound of the work that it causes.
    pub cost_tokens: Tokens,
    /// When it is refused if it is still queued.
    pub give_up_at: Timestamp,
}

/// The result of offering a request to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The request is queued.
    Queued,
    /// The request is queued, and the one with this ticket was evicted and must be refused now.
    QueuedByEvicting(Ticket),
    /// The request must be refused now.
    Refused {
        /// The estimated time that it would have been queued.
        estimated_wait: Duration,
    },
}

#[derive(Debug, Default)]
struct AccountQueue {
    account_id: ClientAccountId,
    deficit_tokens: Tokens,
    requests: VecDeque<QueuedRequest>,
}

/// The accounts with queued requests of one priority, in round-robin order; the front one has the
/// turn.
#[derive(Debug, Default)]
struct PriorityLevel {
    accounts: VecDeque<AccountQueue>,
    count: usize,
}

/// The queue of requests that wait for one group of backend servers.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    levels: [PriorityLevel; PRIORITY_COUNT],
    arrivals: [RateMeter; PRIORITY_COUNT],
    count: usize,
}

impl AdmissionQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Counts the queued requests that would be served before a new one.
    pub fn count_ahead(&self, account_id: &str, priority: u8) -> usize {
        let level = level_index(priority);
        let more_urgent: usize = self.levels[..level].iter().map(|level| level.count).sum();
        more_urgent + self.levels[level].count_ahead(account_id)
    }

    /// Counts an arrived request, whether or not it has to queue.
    pub fn record_arrival(&mut self, priority: u8, now: Timestamp) {
        self.arrivals[level_index(priority)].record(now);
    }

    /// Returns the recent arrivals per second of requests more urgent than `priority`.
    pub fn more_urgent_arrival_rate(&self, priority: u8, now: Timestamp) -> f64 {
        let more_urgent = &self.arrivals[..level_index(priority)];
        more_urgent.iter().map(|meter| meter.per_second(now)).sum()
    }

    /// Returns the priority of the next request to serve.
    pub fn next_priority(&self) -> Option<u8> {
        self.levels.iter().position(|level| level.count > 0).map(|level| level as u8)
    }

    /// Queues a request unless its estimated wait is too long or the queue is full.
    ///
    /// `rate` is the number of requests served per second, 0 if it is unknown. With an unknown rate
    /// the estimated wait is zero.
    pub fn offer(&mut self, request: QueuedRequest, now: Timestamp, rate: f64) -> OfferOutcome {
        let estimated_wait = self.estimate_wait(&request, now, rate);
        if now + estimated_wait > request.give_up_at {
            return OfferOutcome::Refused { estimated_wait };
        }
        if self.count < MAX_QUEUED_REQUESTS {
            self.push(request);
            return OfferOutcome::Queued;
        }
        match self.evict_for(&request) {
            Some(ticket) => {
                self.push(request);
                OfferOutcome::QueuedByEvicting(ticket)
            }
            None => OfferOutcome::Refused { estimated_wait },
        }
    }

    /// Removes and returns the next request to serve.
    pub fn take_next(&mut self) -> Option<QueuedRequest> {
        let level = self.levels.iter_mut().find(|level| level.count > 0)?;
        let next = level.take_next()?;
        self.count -= 1;
        Some(next)
    }

    /// Puts back a taken request that cannot be served yet, ahead of its account's other requests.
    pub fn put_back(&mut self, request: QueuedRequest) {
        self.levels[level_index(request.priority)].put_back(request);
        self.count += 1;
    }

    /// Removes a request that has stopped waiting; false when it is not queued.
    pub fn remove(&mut self, ticket: Ticket, priority: u8) -> bool {
        let is_removed = self.levels[level_index(priority)].remove(ticket);
        self.count -= usize::from(is_removed);
        is_removed
    }

    fn estimate_wait(&self, request: &QueuedRequest, now: Timestamp, rate: f64) -> Duration {
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        let ahead_count = self.count_ahead(&request.account_id, request.priority);
        let remaining_rate = rate - self.more_urgent_arrival_rate(request.priority, now);
        let seconds = ahead_count as f64 / remaining_rate.max(rate * MIN_REMAINING_RATE_FRACTION);
        Duration::from_secs_f64(seconds)
    }

    fn push(&mut self, request: QueuedRequest) {
        self.levels[level_index(request.priority)].push(request);
        self.count += 1;
    }

    /// Evicts the newest request of the account with the longest queue in the least urgent
    /// priority. The request must be less urgent than the new one, or have the same priority and
    /// belong to an account with more queued requests than the new one's account would have.
    fn evict_for(&mut self, request: &QueuedRequest) -> Option<Ticket> {
        let least_urgent = self.levels.iter().rposition(|level| level.count > 0)?;
        let own_level = level_index(request.priority);
        let level = &mut self.levels[least_urgent];
        let may_evict = match least_urgent.cmp(&own_level) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => {
                level.longest_len() > level.account_len(&request.account_id) + 1
            }
            std::cmp::Ordering::Less => false,
        };
        let evicted = may_evict.then(|| level.evict_longest()).flatten()?;
        self.count -= 1;
        Some(evicted.ticket)
    }
}

impl PriorityLevel {
    fn push(&mut self, request: QueuedRequest) {
        self.count += 1;
        let existing =
            self.accounts.iter_mut().find(|queue| queue.account_id == request.account_id);
        match existing {
            Some(queue) => queue.requests.push_back(request),
            None => self.accounts.push_back(AccountQueue {
                account_id: request.account_id.clone(),
                deficit_tokens: 0,
                requests: VecDeque::from([request]),
            }),
        }
    }

    fn put_back(&mut self, request: QueuedRequest) {
        self.count += 1;
        let deficit_tokens = request.cost_tokens.min(MAX_COST_TOKENS);
        let front = self.accounts.front_mut();
        match front.filter(|queue| queue.account_id == request.account_id) {
            Some(queue) => {
                queue.deficit_tokens += deficit_tokens;
                queue.requests.push_front(request);
            }
            None => self.accounts.push_front(AccountQueue {
                account_id: request.account_id.clone(),
                deficit_tokens,
                requests: VecDeque::from([request]),
            }),
        }
    }

    fn count_ahead(&self, account_id: &str) -> usize {
        let own_len = self.account_len(account_id);
        let others = self.accounts.iter().filter(|queue| queue.account_id != account_id);
        own_len + others.map(|queue| queue.requests.len().min(own_len + 1)).sum::<usize>()
    }

    fn account_len(&self, account_id: &str) -> usize {
        let own = self.accounts.iter().find(|queue| queue.account_id == account_id);
        own.map_or(0, |queue| queue.requests.len())
    }

    fn longest_len(&self) -> usize {
        self.accounts.iter().map(|queue| queue.requests.len()).max().unwrap_or(0)
    }

    fn take_next(&mut self) -> Option<QueuedRequest> {
        loop {
            let queue = self.accounts.front_mut()?;
            let cost_tokens = queue.requests.front()?.cost_tokens.min(MAX_COST_TOKENS);
            if queue.deficit_tokens < cost_tokens {
                queue.deficit_tokens += QUANTUM_TOKENS;
                self.accounts.rotate_left(1);
                continue;
            }
            queue.deficit_tokens -= cost_tokens;
            let next = queue.requests.pop_front();
            self.count -= 1;
            if queue.requests.is_empty() {
                self.accounts.pop_front();
            }
            return next;
        }
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        for account in 0..self.accounts.len() {
            let requests = &mut self.accounts[account].requests;
            let Some(position) = requests.iter().position(|request| request.ticket == ticket)
            else {
                continue;
            };
            requests.remove(position);
            self.count -= 1;
            if requests.is_empty() {
                self.accounts.remove(account);
            }
            return true;
        }
        false
    }

    fn evict_longest(&mut self) -> Option<QueuedRequest> {
        let longest = (0..self.accounts.len()).max_by_key(|i| self.accounts[*i].requests.len())?;
        let evicted = self.accounts[longest].requests.pop_back();
        self.count -= usize::from(evicted.is_some());
        if self.accounts[longest].requests.is_empty() {
            self.accounts.remove(longest);
        }
        evicted
    }
}

/// Returns the retry delay for a refused caller: the bounded estimated wait with jitter up to three
/// times as long, so that callers that were refused together do not retry together.
pub fn jittered_retry_delay(estimated_wait: Duration, random: u64) -> Duration {
    let base = estimated_wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let jitter_per_mille = (random % 2_001) as u32;
    base + base * jitter_per_mille / 1000
}

fn level_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_COUNT - 1)
}
