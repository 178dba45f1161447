//! The transfers of tokens that may still be repeated.
//!
//! A message about tokens is repeated until its response comes. A transfer that was forgotten
//! meanwhile would deduct or add its tokens again, so that transfers are forgotten by their age only.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Uptime;
use super::token_holding::TransferId;

/// How long a transfer is remembered; longer than any message is repeated.
const MEMORY: Duration = Duration::from_secs(10);
/// The most transfers that are remembered.
const MAX_TRANSFERS: usize = 16_384;

/// The transfers of tokens that may still be repeated, each with its result.
#[derive(Debug)]
pub(super) struct RecentTransfers<T> {
    results: BTreeMap<TransferId, T>,
    by_age: VecDeque<(Uptime, TransferId)>,
}

impl<T> Default for RecentTransfers<T> {
    fn default() -> Self {
        Self { results: BTreeMap::new(), by_age: VecDeque::new() }
    }
}

impl<T> RecentTransfers<T> {
    /// Returns the result of a transfer that is remembered.
    pub(super) fn result(&self, id: &TransferId) -> Option<&T> {
        self.results.get(id)
    }

    /// Forgets old transfers; returns whether another one can be remembered.
    pub(super) fn has_room(&mut self, now: Uptime) -> bool {
        while let Some((_, id)) = self.by_age.pop_front_if(|(at, _)| *at + MEMORY <= now) {
            self.results.remove(&id);
        }
        self.results.len() < MAX_TRANSFERS
    }

    /// Remembers a transfer.
    pub(super) fn record(&mut self, id: TransferId, result: T, now: Uptime) {
        self.by_age.push_back((now, id.clone()));
        self.results.insert(id, result);
    }
}
