//! The entries of request keys, in bounded memory.
//!
//! A closed entry is kept for at least the retry window of its route. Its response is dropped
//! earlier when the stored responses exceed their size limit; the outcome stays. An entry that is
//! not closed is never dropped: a full table rejects new keys instead. The entry of a request
//! without a caller's key is kept only as long as late messages about it may arrive, since no
//! caller can send it again.
//!
//! A key whose request provably did not run can be used again, but its attempt numbers continue for
//! `LATE_MESSAGE_WINDOW`: a late settlement of the earlier request must not match an attempt of the
//! next one.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use super::key_entry::{AttemptRunner, EarlierAttempts, KeyBinding, KeyEntry, KeyState};
use crate::ids::{AttemptNumber, RequestKey, RouteId, Timestamp};

/// How long messages about a request may arrive after it closed or was released. Closed entries
/// without a caller's key, and attempt numbers of released keys, are kept for this long.
const LATE_MESSAGE_WINDOW: Duration = Duration::from_secs(10);

/// The limits of a key table.
#[derive(Debug, Clone, Copy)]
pub struct KeyTableLimits {
    /// The shortest time for which a closed entry is kept, where its route sets no window.
    pub retry_window: Duration,
    /// The maximum number of entries.
    pub max_entries: usize,
    /// The maximum size of all stored responses, in bytes.
    pub max_response_bytes: usize,
}

impl Default for KeyTableLimits {
    fn default() -> Self {
        Self {
            retry_window: Duration::from_secs(600),
            max_entries: 20_000,
            max_response_bytes: 16 * 1024 * 1024,
        }
    }
}

/// Marks a loss of entries whose time is not set yet; the next lookup sets it to its own time.
pub const LOSS_TIME_UNSET: Timestamp = Timestamp::MAX;

/// The result of looking up a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookup {
    /// The key is new and there is room for it.
    Vacant,
    /// The key has an entry with this binding.
    Known(KeyState),
    /// The key has an entry with another binding.
    Mismatch,
    /// The key is new and there is no room.
    Full,
    /// The key has no entry, but may have had one that was lost. This cannot be ruled out before
    /// the given time.
    PossiblyLost(Timestamp),
}

/// What is kept of a request that provably did not run.
#[derive(Debug, Clone, Copy)]
struct Release {
    last_attempt: AttemptNumber,
    expires_at: Timestamp,
}

/// The entries of request keys.
#[derive(Debug)]
pub struct KeyTable {
    entries: HashMap<RequestKey, KeyEntry>,
    expiry_order: BTreeSet<(Timestamp, RequestKey)>,
    response_order: VecDeque<RequestKey>,
    response_bytes: usize,
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
            response_order: VecDeque::new(),
            response_bytes: 0,
            released: HashMap::new(),
            released_order: VecDeque::new(),
            entries_lost_at: None,
            limits,
            retry_windows: BTreeMap::new(),
        }
    }

    /// Sets how long closed entries of each route are kept; applies to entries closed from now on.
    pub fn set_retry_windows(&mut self, retry_windows: BTreeMap<RouteId, Duration>) {
        self.retry_windows = retry_windows;
    }

    /// Returns the size of all stored responses in bytes.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Returns every entry with its key, in no particular order.
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

    /// Drops expired entries and looks up a key.
    pub fn look_up(&mut self, key: &str, binding: &KeyBinding, now: Timestamp) -> KeyLookup {
        self.expire(now);
        if self.entries_lost_at == Some(LOSS_TIME_UNSET) {
            self.entries_lost_at = Some(now);
        }
        match self.entries.get(key) {
            Some(entry) if entry.binding == *binding => KeyLookup::Known(entry.state.clone()),
            Some(_) => KeyLookup::Mismatch,
            None if self.entries.len() >= self.limits.max_entries => KeyLookup::Full,
            None => self.look_up_missing(now),
        }
    }

    /// Sets when entries with unknown keys were lost; `None` when none were.
    pub fn set_entries_lost_at(&mut self, lost_at: Option<Timestamp>) {
        self.entries_lost_at = lost_at;
    }

    /// Returns when entries were lost.
    pub fn entries_lost_at(&self) -> Option<Timestamp> {
        self.entries_lost_at
    }

    fn look_up_missing(&self, now: Timestamp) -> KeyLookup {
        match self.lost_until() {
            Some(lost_until) if now < lost_until => KeyLookup::PossiblyLost(lost_until),
            _ => KeyLookup::Vacant,
        }
    }

    /// Returns until when a key without an entry may have had one that was lost.
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
            let expires_at = now + LATE_MESSAGE_WINDOW;
            let release = Release { last_attempt: entry.last_attempt, expires_at };
            self.released.insert(key.to_owned(), release);
            self.released_order.push_back((expires_at, key.to_owned()));
        }
        while self.released_order.len() > self.limits.max_entries {
            self.drop_oldest_release();
        }
    }

    /// Replaces the entry of a key by that of another VM's table; `None` removes it.
    pub fn restore(&mut self, key: RequestKey, entry: Option<KeyEntry>, now: Timestamp) {
        self.expire(now);
        self.drop_response(&key);
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

    /// Moves a request from attempt `from_attempt` to the next one; `None` when that is not the
    /// newest attempt any more, or the request may not continue.
    ///
    /// An idempotent request whose outcome is unknown may continue. `earlier` is the possible
    /// effects of all its attempts so far.
    pub fn redirect(
        &mut self,
        key: &str,
        from_attempt: AttemptNumber,
        earlier: EarlierAttempts,
        next_runner: AttemptRunner,
        now: Timestamp,
    ) -> Option<AttemptNumber> {
        let entry = self.entries.get_mut(key)?;
        let may_continue = match entry.state {
            KeyState::Running { .. } => true,
            KeyState::Unknown => entry.is_idempotent,
            KeyState::Done { .. } => false,
        };
        if !may_continue || entry.last_attempt != from_attempt {
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

    /// Records that it cannot be determined whether a request ran; its reservation stays.
    pub fn mark_unknown(&mut self, key: &str, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = KeyState::Unknown;
            entry.changed_at = now;
        }
    }

    /// Closes an entry and ends its reservation; false when the entry is missing or already closed.
    #[must_use]
    pub fn close(&mut self, key: &str, state: KeyState, now: Timestamp) -> bool {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| !entry.is_closed()) else {
            return false;
        };
        let response_bytes = match &state {
            KeyState::Done { response: Some(response), .. } => response.body.len(),
            _ => 0,
        };
        entry.state = state;
        entry.reserved_tokens = 0;
        entry.changed_at = now;
        let window = if entry.has_caller_key(key) {
            let route_window = self.retry_windows.get(&entry.binding.route_id);
            route_window.copied().unwrap_or(self.limits.retry_window)
        } else {
            LATE_MESSAGE_WINDOW
        };
        self.expiry_order.insert((now + window, key.to_owned()));
        self.track_response(key, response_bytes);
        true
    }

    fn track_response(&mut self, key: &str, response_bytes: usize) {
        if response_bytes == 0 {
            return;
        }
        self.response_bytes += response_bytes;
        self.response_order.push_back(key.to_owned());
        while self.response_bytes > self.limits.max_response_bytes {
            let Some(oldest) = self.response_order.pop_front() else {
                return;
            };
            self.drop_response(&oldest);
        }
    }

    fn drop_response(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let KeyState::Done { response, .. } = &mut entry.state {
            let dropped_bytes = response.take().map_or(0, |response| response.body.len());
            self.response_bytes -= dropped_bytes;
        }
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((expires_at, key)) = self.expiry_order.first() {
            if *expires_at > now {
                break;
            }
            let key = key.clone();
            self.expiry_order.pop_first();
            self.drop_response(&key);
            self.entries.remove(&key);
        }
        while self.released_order.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.drop_oldest_release();
        }
        self.trim_response_order();
    }

    fn drop_oldest_release(&mut self) {
        let Some((expires_at, key)) = self.released_order.pop_front() else {
            return;
        };
        let newest = self.released.get(&key).map(|release| release.expires_at);
        if newest == Some(expires_at) {
            self.released.remove(&key);
        }
    }

    /// Removes keys whose response was dropped from the front of the order, to bound its length.
    fn trim_response_order(&mut self) {
        while self.response_order.front().is_some_and(|key| !self.has_response(key)) {
            self.response_order.pop_front();
        }
    }

    fn has_response(&self, key: &str) -> bool {
        let state = self.entries.get(key).map(|entry| &entry.state);
        matches!(state, Some(KeyState::Done { response: Some(_), .. }))
    }
}
