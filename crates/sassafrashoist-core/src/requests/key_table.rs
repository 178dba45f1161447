//! The entries of request keys, in bounded memory.
//!
//! A closed entry is kept for the retry window at least. Its answer goes earlier when the kept
//! answers grow too large; the outcome stays. An entry that is not closed is never dropped.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::key_entry::{AttemptRunner, KeyBinding, KeyEntry, KeyState};
use crate::ids::{AttemptNumber, RequestKey, Timestamp};

/// The bounds of a key table.
#[derive(Debug, Clone, Copy)]
pub struct KeyTableLimits {
    /// How long a closed entry is kept, at least.
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
}

/// The entries of request keys.
#[derive(Debug)]
pub struct KeyTable {
    entries: HashMap<RequestKey, KeyEntry>,
    closed_order: VecDeque<(RequestKey, Timestamp)>,
    answer_order: VecDeque<RequestKey>,
    answer_bytes: usize,
    limits: KeyTableLimits,
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new(limits: KeyTableLimits) -> Self {
        Self {
            entries: HashMap::new(),
            closed_order: VecDeque::new(),
            answer_order: VecDeque::new(),
            answer_bytes: 0,
            limits,
        }
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
        match self.entries.get(key) {
            Some(entry) if entry.binding == *binding => KeyLookup::Known(entry.state.clone()),
            Some(_) => KeyLookup::Mismatch,
            None if self.entries.len() >= self.limits.max_entries => KeyLookup::Full,
            None => KeyLookup::Vacant,
        }
    }

    /// Adds an entry.
    pub fn insert(&mut self, key: RequestKey, entry: KeyEntry) {
        self.entries.insert(key, entry);
    }

    /// Removes an entry whose request provably did not run.
    pub fn remove(&mut self, key: &str) {
        self.drop_answer(key);
        self.entries.remove(key);
    }

    /// Returns every entry by key.
    pub fn entries(&self) -> impl Iterator<Item = (&RequestKey, &KeyEntry)> {
        self.entries.iter()
    }

    /// Puts in place what another VM's table has for a key; `None` removes the entry.
    pub fn restore(&mut self, key: RequestKey, entry: Option<KeyEntry>, now: Timestamp) {
        self.expire(now);
        self.remove(&key);
        let Some(mut entry) = entry else {
            return;
        };
        let state = entry.state.clone();
        if !matches!(state, KeyState::Done { .. }) {
            self.entries.insert(key, entry);
            return;
        }
        entry.state = KeyState::Unknown;
        self.entries.insert(key.clone(), entry);
        self.close(&key, state, now);
    }

    /// Moves a running request to its next attempt; `None` when another attempt took over.
    pub fn redirect(
        &mut self,
        key: &str,
        from_attempt: AttemptNumber,
        next_runner: AttemptRunner,
        now: Timestamp,
    ) -> Option<AttemptNumber> {
        let entry = self.entries.get_mut(key)?;
        let KeyState::Running { attempt, runner } = &mut entry.state else {
            return None;
        };
        if *attempt != from_attempt {
            return None;
        }
        *attempt += 1;
        *runner = next_runner;
        entry.changed_at = now;
        Some(*attempt)
    }

    /// Records that it cannot be known whether a request ran; its reservation stays.
    pub fn mark_unknown(&mut self, key: &str, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = KeyState::Unknown;
            entry.changed_at = now;
        }
    }

    /// Closes an entry; its reservation is over.
    pub fn close(&mut self, key: &str, state: KeyState, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let answer_bytes = match &state {
            KeyState::Done { answer: Some(answer), .. } => answer.body.len(),
            _ => 0,
        };
        entry.state = state;
        entry.reserved_tokens = 0;
        entry.changed_at = now;
        self.closed_order.push_back((key.to_owned(), now));
        self.keep_answer(key, answer_bytes);
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
        while let Some((key, closed_at)) = self.closed_order.front() {
            if now.saturating_sub(*closed_at) < self.limits.retry_window {
                return;
            }
            let key = key.clone();
            self.closed_order.pop_front();
            self.remove(&key);
        }
    }
}
