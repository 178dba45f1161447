//! The entries of request keys, in bounded memory.
//!
//! A closed entry is kept for the retry window of its route at least. Its answer goes earlier when
//! the kept answers grow too large; the outcome stays. An entry that is not closed is never
//! dropped: a full table refuses new keys instead. The entry of a request without a caller's key is
//! kept only as long as late messages about it may come, since no caller can ask for it again.
//!
//! A key whose request provably did not run is free again, but the numbers of its attempts go on for
//! a while: a late settlement of the earlier request must not match an attempt of the next one.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use super::key_entry::{AttemptRunner, EarlierAttempts, KeyBinding, KeyEntry, KeyState};
use crate::ids::{AttemptNumber, RequestKey, RouteId, Timestamp};

/// How long the closed entry of a request without a caller's key is kept.
const LATE_MESSAGE_WINDOW: Duration = Duration::from_secs(10);

/// The bounds of a key table.
#[derive(Debug, Clone, Copy)]
pub struct KeyTableLimits {
    /// How long a closed entry is kept, at least, where its route sets no window.
    pub retry_window: Duration,
    /// The most entries kept.
    pub max_entries: usize,
    /// The most bytes of kept answers.
    pub max_answer_bytes: usize,
}

impl Default for KeyTableLimits {
    fn default() -> Self {
        Self {
            retry_window: Duration::from_secs(600),
            max_entries: 20_000,
            max_answer_bytes: 16 * 1024 * 1024,
        }
    }
}

/// Stands for a loss whose time is counted from the next look-up on.
pub const LOSS_NOT_COUNTED: Timestamp = Timestamp::MAX;

/// What the table says of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookup {
    /// The key is new and there is room for it.
    Vacant,
    /// The key is known with this binding.
    Known(KeyState),
    /// The key is known with another binding.
    Mismatch,
    /// The key is new and there is no room.
    Full,
    /// The key may have been known before earlier entries were lost, until this time.
    MayBeLost(Timestamp),
}

/// What is remembered of a request that provably did not run.
#[derive(Debug, Clone, Copy)]
struct Release {
    last_attempt: AttemptNumber,
    forgotten_at: Timestamp,
}

/// The entries of request keys.
#[derive(Debug)]
pub struct KeyTable {
    entries: HashMap<RequestKey, KeyEntry>,
    expiry_order: BTreeSet<(Timestamp, RequestKey)>,
    answer_order: VecDeque<RequestKey>,
    answer_bytes: usize,
    released: HashMap<RequestKey, Release>,
    released_order: VecDeque<(Timestamp, RequestKey)>,
    limits: KeyTableLimits,
    retry_windows: BTreeMap<RouteId, Duration>,
    entries_lost_at: Option<Timestamp>,
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new(limits: KeyTableLimits) -> Self {
        Self {
            entries: HashMap::new(),
            expiry_order: BTreeSet::new(),
            answer_order: VecDeque::new(),
            answer_bytes: 0,
            released: HashMap::new(),
            released_order: VecDeque::new(),
            entries_lost_at: None,
            limits,
            retry_windows: BTreeMap::new(),
        }
    }

    /// Sets how long closed entries of each route are kept; holds for entries closed from now on.
    pub fn set_retry_windows(&mut self, retry_windows: BTreeMap<RouteId, Duration>) {
        self.retry_windows = retry_windows;
    }

    /// Returns the bytes of kept answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns every entry by its key, in no order.
    pub fn entries(&self) -> impl Iterator<Item = (&RequestKey, &KeyEntry)> {
        self.entries.iter()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an entry.
    pub fn entry(&self, key: &str) -> Option<&KeyEntry> {
        self.entries.get(key)
    }

    /// Drops expired entries and says what is known of a key.
    pub fn look_up(&mut self, key: &str, binding: &KeyBinding, now: Timestamp) -> KeyLookup {
        self.expire(now);
        if self.entries_lost_at == Some(LOSS_NOT_COUNTED) {
            self.entries_lost_at = Some(now);
        }
        match self.entries.get(key) {
            Some(entry) if entry.binding == *binding => KeyLookup::Known(entry.state.clone()),
            Some(_) => KeyLookup::Mismatch,
            None if self.entries.len() >= self.limits.max_entries => KeyLookup::Full,
            None => self.look_up_lost(now),
        }
    }

    /// Records that entries of unknown keys were lost; `None` when they were not.
    pub fn set_entries_lost_at(&mut self, lost_at: Option<Timestamp>) {
        self.entries_lost_at = lost_at;
    }

    /// Returns when entries were lost.
    pub fn entries_lost_at(&self) -> Option<Timestamp> {
        self.entries_lost_at
    }

    fn look_up_lost(&self, now: Timestamp) -> KeyLookup {
        match self.lost_until() {
            Some(lost_until) if now < lost_until => KeyLookup::MayBeLost(lost_until),
            _ => KeyLookup::Vacant,
        }
    }

    /// Returns until when a key that is not known may have been known before a loss of entries.
    pub fn lost_until(&self) -> Option<Timestamp> {
        let lost_at = self.entries_lost_at?;
        let longest_window = self.retry_windows.values().copied().max();
        Some(lost_at.saturating_add(longest_window.unwrap_or(self.limits.retry_window)))
    }

    /// Adds an entry.
    pub fn insert(&mut self, key: RequestKey, entry: KeyEntry) {
        self.entries.insert(key, entry);
    }

    /// Returns the number of the first attempt of a new request.
    pub fn first_attempt(&self, key: &str) -> AttemptNumber {
        self.released.get(key).map_or(1, |release| release.last_attempt + 1)
    }

    /// Removes an entry whose request provably did not run.
    pub fn release(&mut self, key: &str, now: Timestamp) {
        if let Some(entry) = self.entries.remove(key) {
            let forgotten_at = now + LATE_MESSAGE_WINDOW;
            let release = Release { last_attempt: entry.last_attempt, forgotten_at };
            self.released.insert(key.to_owned(), release);
            self.released_order.push_back((forgotten_at, key.to_owned()));
        }
        while self.released_order.len() > self.limits.max_entries {
            self.forget_oldest_release();
        }
    }

    /// Puts in place what another VM's table has for a key; `None` removes the entry.
    pub fn restore(&mut self, key: RequestKey, entry: Option<KeyEntry>, now: Timestamp) {
        self.expire(now);
        self.drop_answer(&key);
        let Some(mut entry) = entry else {
            return self.release(&key, now);
        };
        self.entries.remove(&key);
        let state = entry.state.clone();
        if !matches!(state, KeyState::Done { .. }) {
            self.entries.insert(key, entry);
            return;
        }
        entry.state = KeyState::Unknown;
        self.entries.insert(key.clone(), entry);
        let _ = self.close(&key, state, now);
    }

    /// Moves a request to its next attempt; `None` when another attempt took over.
    ///
    /// A request that ended as unknown may go on where it is idempotent; `earlier` is all that its
    /// attempts so far may have done.
    pub fn redirect(
        &mut self,
        key: &str,
        from_attempt: AttemptNumber,
        earlier: EarlierAttempts,
        next_runner: AttemptRunner,
        now: Timestamp,
    ) -> Option<AttemptNumber> {
        let entry = self.entries.get_mut(key)?;
        let may_go_on = match entry.state {
            KeyState::Running { .. } => true,
            KeyState::Unknown => entry.is_idempotent,
            KeyState::Done { .. } => false,
        };
        if !may_go_on || entry.last_attempt != from_attempt {
            return None;
        }
        let attempt = from_attempt + 1;
        entry.state = KeyState::Running { attempt, runner: next_runner };
        entry.last_attempt = attempt;
        entry.earlier.may_have_run |= earlier.may_have_run;
        entry.earlier.spent_tokens = entry.earlier.spent_tokens.max(earlier.spent_tokens);
        entry.changed_at = now;
        Some(attempt)
    }

    /// Records that it cannot be known whether a request ran; its reservation stays.
    pub fn mark_unknown(&mut self, key: &str, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = KeyState::Unknown;
            entry.changed_at = now;
        }
    }

    /// Closes an entry; its reservation is over. False when it was closed before.
    #[must_use]
    pub fn close(&mut self, key: &str, state: KeyState, now: Timestamp) -> bool {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| !entry.is_closed()) else {
            return false;
        };
        let answer_bytes = match &state {
            KeyState::Done { answer: Some(answer), .. } => answer.body.len(),
            _ => 0,
        };
        entry.state = state;
        entry.reserved_tokens = 0;
        entry.changed_at = now;
        let window = if entry.is_keyed(key) {
            let route_window = self.retry_windows.get(&entry.binding.route_id);
            route_window.copied().unwrap_or(self.limits.retry_window)
        } else {
            LATE_MESSAGE_WINDOW
        };
        self.expiry_order.insert((now + window, key.to_owned()));
        self.keep_answer(key, answer_bytes);
        true
    }

    fn keep_answer(&mut self, key: &str, answer_bytes: usize) {
        if answer_bytes == 0 {
            return;
        }
        self.answer_bytes += answer_bytes;
        self.answer_order.push_back(key.to_owned());
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(oldest) = self.answer_order.pop_front() else {
                return;
            };
            self.drop_answer(&oldest);
        }
    }

    fn drop_answer(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let KeyState::Done { answer, .. } = &mut entry.state {
            let dropped_bytes = answer.take().map_or(0, |answer| answer.body.len());
            self.answer_bytes -= dropped_bytes;
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((expires_at, key)) = self.expiry_order.first() {
            if *expires_at > now {
                break;
            }
            let key = key.clone();
            self.expiry_order.pop_first();
            self.drop_answer(&key);
            self.entries.remove(&key);
        }
        while self.released_order.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.forget_oldest_release();
        }
        self.forget_dropped_answers();
    }

    fn forget_oldest_release(&mut self) {
        let Some((forgotten_at, key)) = self.released_order.pop_front() else {
            return;
        };
        let newest = self.released.get(&key).map(|release| release.forgotten_at);
        if newest == Some(forgotten_at) {
            self.released.remove(&key);
        }
    }

    /// Keeps the order of answers no longer than the entries that it speaks of.
    fn forget_dropped_answers(&mut self) {
        while self.answer_order.front().is_some_and(|key| !self.has_answer(key)) {
            self.answer_order.pop_front();
        }
    }

    fn has_answer(&self, key: &str) -> bool {
        let state = self.entries.get(key).map(|entry| &entry.state);
        matches!(state, Some(KeyState::Done { answer: Some(_), .. }))
    }
}
