//! The requests that wait for a backend server, and who goes next.
//!
//! Admission goes by the estimated queueing delay: a request that would still wait when it has to
//! give up is refused at once. The estimate leaves to a priority the rate that more urgent requests,
//! as they recently arrived, do not use. Higher priorities go first. Within a priority, deficit round robin
//! shares by cost among accounts, and the estimate counts only those requests of other accounts
//! that would go before, so the long queue of one account neither delays nor refuses the others.

use std::collections::VecDeque;
use std::time::Duration;

use super::rate_meter::RateMeter;
use crate::ids::{ClientAccountId, Timestamp, Tokens};

/// Names a waiting request.
pub type Ticket = u64;

/// Priorities, 0 (first) to 9.
pub const PRIORITY_COUNT: usize = 10;
/// Requests that may wait in one queue.
pub const MAX_WAITING: usize = 1_024;
/// What an account may send per turn.
const QUANTUM_TOKENS: Tokens = 1_024;
/// What a request costs at most, so that a turn comes after a bounded number of rounds.
const MAX_COST_TOKENS: Tokens = 16 * QUANTUM_TOKENS;
/// The least part of the rate that is left to a priority in an estimate.
const MIN_LEFT_PART: f64 = 0.02;
/// The least that a refused caller is told to stay away.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The most that a refused caller is told to stay away, before the spread.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// Its name.
    pub ticket: Ticket,
    /// Its client account.
    pub account_id: ClientAccountId,
    /// Its priority, 0 (first) to 9.
    pub priority: u8,
    /// The work that it may cause.
    pub cost_tokens: Tokens,
    /// When it is answered with a refusal if it still waits.
    pub give_up_at: Timestamp,
}

/// What became of a request that asked to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It waits.
    Queued,
    /// It waits in the place of another, which must be refused now.
    QueuedInPlaceOf(Ticket),
    /// It must be refused now.
    Refused {
        /// How long it would have waited.
        estimated_wait: Duration,
    },
}

#[derive(Debug, Default)]
struct AccountQueue {
    account_id: ClientAccountId,
    deficit_tokens: Tokens,
    waiting: VecDeque<Waiting>,
}

/// The accounts with waiting requests of one priority; the front one is next.
#[derive(Debug, Default)]
struct PriorityLevel {
    accounts: VecDeque<AccountQueue>,
    count: usize,
}

/// The requests that wait for one group of backend servers.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    levels: [PriorityLevel; PRIORITY_COUNT],
    arrivals: [RateMeter; PRIORITY_COUNT],
    count: usize,
}

impl AdmissionQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Counts the waiting requests that would go before a new one.
    pub fn count_ahead(&self, account_id: &str, priority: u8) -> usize {
        let level = level_index(priority);
        let more_urgent: usize = self.levels[..level].iter().map(|level| level.count).sum();
        more_urgent + self.levels[level].count_ahead(account_id)
    }

    /// Counts a request as arrived, whether or not it waits.
    pub fn record_arrival(&mut self, priority: u8, now: Timestamp) {
        self.arrivals[level_index(priority)].record(now);
    }

    /// Returns how many requests a second arrived that go before those of a priority.
    pub fn urgent_rate(&self, priority: u8, now: Timestamp) -> f64 {
        let more_urgent = &self.arrivals[..level_index(priority)];
        more_urgent.iter().map(|meter| meter.per_second(now)).sum()
    }

    /// Returns the priority of the request that goes next.
    pub fn next_priority(&self) -> Option<u8> {
        self.levels.iter().position(|level| level.count > 0).map(|level| level as u8)
    }

    /// Takes a request in, unless it would wait too long where `rate` requests a second are sent;
    /// a rate of 0 is not known.
    pub fn offer(&mut self, waiting: Waiting, now: Timestamp, rate: f64) -> OfferOutcome {
        let estimated_wait = self.estimate_wait(&waiting, now, rate);
        if now + estimated_wait > waiting.give_up_at {
            return OfferOutcome::Refused { estimated_wait };
        }
        if self.count < MAX_WAITING {
            self.push(waiting);
            return OfferOutcome::Queued;
        }
        match self.evict_for(&waiting) {
            Some(ticket) => {
                self.push(waiting);
                OfferOutcome::QueuedInPlaceOf(ticket)
            }
            None => OfferOutcome::Refused { estimated_wait },
        }
    }

    /// Takes out the request that goes next.
    pub fn take_next(&mut self) -> Option<Waiting> {
        let level = self.levels.iter_mut().find(|level| level.count > 0)?;
        let next = level.take_next()?;
        self.count -= 1;
        Some(next)
    }

    /// Puts a request back that was taken and cannot go yet, in front of its account's others.
    pub fn put_back(&mut self, waiting: Waiting) {
        self.levels[level_index(waiting.priority)].put_back(waiting);
        self.count += 1;
    }

    /// Takes a request out that no longer waits; false when it is not there.
    pub fn remove(&mut self, ticket: Ticket, priority: u8) -> bool {
        let is_removed = self.levels[level_index(priority)].remove(ticket);
        self.count -= usize::from(is_removed);
        is_removed
    }

    fn estimate_wait(&self, waiting: &Waiting, now: Timestamp, rate: f64) -> Duration {
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        let ahead_count = self.count_ahead(&waiting.account_id, waiting.priority);
        let left_rate = rate - self.urgent_rate(waiting.priority, now);
        let seconds = ahead_count as f64 / left_rate.max(rate * MIN_LEFT_PART);
        Duration::from_secs_f64(seconds)
    }

    fn push(&mut self, waiting: Waiting) {
        self.levels[level_index(waiting.priority)].push(waiting);
        self.count += 1;
    }

    /// Drops the newest request of the longest queue in the least urgent priority, if it is less
    /// urgent than the new one or of an account with more waiting requests.
    fn evict_for(&mut self, waiting: &Waiting) -> Option<Ticket> {
        let least_urgent = self.levels.iter().rposition(|level| level.count > 0)?;
        let own = level_index(waiting.priority);
        let level = &mut self.levels[least_urgent];
        let may_evict = match least_urgent.cmp(&own) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => {
                level.longest_len() > level.account_len(&waiting.account_id) + 1
            }
            std::cmp::Ordering::Less => false,
        };
        let evicted = may_evict.then(|| level.evict_longest()).flatten()?;
        self.count -= 1;
        Some(evicted.ticket)
    }
}

impl PriorityLevel {
    fn push(&mut self, waiting: Waiting) {
        self.count += 1;
        let known = self.accounts.iter_mut().find(|queue| queue.account_id == waiting.account_id);
        match known {
            Some(queue) => queue.waiting.push_back(waiting),
            None => self.accounts.push_back(AccountQueue {
                account_id: waiting.account_id.clone(),
                deficit_tokens: 0,
                waiting: VecDeque::from([waiting]),
            }),
        }
    }

    fn put_back(&mut self, waiting: Waiting) {
        self.count += 1;
        let deficit_tokens = waiting.cost_tokens.min(MAX_COST_TOKENS);
        let front = self.accounts.front_mut();
        match front.filter(|queue| queue.account_id == waiting.account_id) {
            Some(queue) => {
                queue.deficit_tokens += deficit_tokens;
                queue.waiting.push_front(waiting);
            }
            None => self.accounts.push_front(AccountQueue {
                account_id: waiting.account_id.clone(),
                deficit_tokens,
                waiting: VecDeque::from([waiting]),
            }),
        }
    }

    fn count_ahead(&self, account_id: &str) -> usize {
        let own_len = self.account_len(account_id);
        let others = self.accounts.iter().filter(|queue| queue.account_id != account_id);
        own_len + others.map(|queue| queue.waiting.len().min(own_len + 1)).sum::<usize>()
    }

    fn account_len(&self, account_id: &str) -> usize {
        let own = self.accounts.iter().find(|queue| queue.account_id == account_id);
        own.map_or(0, |queue| queue.waiting.len())
    }

    fn longest_len(&self) -> usize {
        self.accounts.iter().map(|queue| queue.waiting.len()).max().unwrap_or(0)
    }

    fn take_next(&mut self) -> Option<Waiting> {
        loop {
            let queue = self.accounts.front_mut()?;
            let cost_tokens = queue.waiting.front()?.cost_tokens.min(MAX_COST_TOKENS);
            if queue.deficit_tokens < cost_tokens {
                queue.deficit_tokens += QUANTUM_TOKENS;
                self.accounts.rotate_left(1);
                continue;
            }
            queue.deficit_tokens -= cost_tokens;
            let next = queue.waiting.pop_front();
            self.count -= 1;
            if queue.waiting.is_empty() {
                self.accounts.pop_front();
            }
            return next;
        }
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        for account in 0..self.accounts.len() {
            let waiting = &mut self.accounts[account].waiting;
            let Some(position) = waiting.iter().position(|waiting| waiting.ticket == ticket) else {
                continue;
            };
            waiting.remove(position);
            self.count -= 1;
            if waiting.is_empty() {
                self.accounts.remove(account);
            }
            return true;
        }
        false
    }

    fn evict_longest(&mut self) -> Option<Waiting> {
        let longest = (0..self.accounts.len()).max_by_key(|i| self.accounts[*i].waiting.len())?;
        let evicted = self.accounts[longest].waiting.pop_back();
        self.count -= usize::from(evicted.is_some());
        if self.accounts[longest].waiting.is_empty() {
            self.accounts.remove(longest);
        }
        evicted
    }
}

/// Tells a refused caller when to come back: after the estimated wait or up to three times as long,
/// so that callers that were refused together do not return together.
pub fn spread_retry_delay(estimated_wait: Duration, draw: u64) -> Duration {
    let base = estimated_wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let spread_per_mille = (draw % 2_001) as u32;
    base + base * spread_per_mille / 1000
}

fn level_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_COUNT - 1)
}
