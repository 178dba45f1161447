//! Requests that wait for tokens of their client account.
//!
//! The load that it answers: much of an account's traffic comes to one VM that holds little, tens of
//! requests at a time. If each fetched what it lacks by itself, all would count on the same tokens,
//! and those that come first would take what others fetched. So they wait in one queue for each
//! account, tokens are fetched for all of them together, and the first in the queue gets its tokens
//! first, whatever its size.

use std::collections::{BTreeMap, VecDeque};

use super::Uptime;
use super::token_holding::TokenHolding;
use crate::ids::{ClientAccountId, Tokens};

/// Names a place in the queue.
pub type Ticket = u64;

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Its place.
    pub ticket: Ticket,
    /// Its worst case.
    pub needed_tokens: Tokens,
}

/// Requests that wait for tokens of their client account.
#[derive(Debug, Default)]
pub struct TokenQueue {
    accounts: BTreeMap<ClientAccountId, VecDeque<WaitingRequest>>,
    last_ticket: Ticket,
}

impl TokenQueue {
    /// Adds a request at the end of its account's queue.
    pub fn join(&mut self, account_id: &str, needed_tokens: Tokens) -> Ticket {
        self.last_ticket += 1;
        let waiting = WaitingRequest { ticket: self.last_ticket, needed_tokens };
        self.accounts.entry(account_id.to_owned()).or_default().push_back(waiting);
        self.last_ticket
    }

    /// Takes a request out of its account's queue.
    pub fn leave(&mut self, account_id: &str, ticket: Ticket) {
        if let Some(queue) = self.accounts.get_mut(account_id) {
            queue.retain(|waiting| waiting.ticket != ticket);
            if queue.is_empty() {
                self.accounts.remove(account_id);
            }
        }
    }

    /// Returns the first request of an account's queue.
    pub fn first(&self, account_id: &str) -> Option<WaitingRequest> {
        self.accounts.get(account_id)?.front().copied()
    }

    /// Returns the accounts for whose tokens requests wait.
    pub fn accounts(&self) -> Vec<ClientAccountId> {
        self.accounts.keys().cloned().collect()
    }

    /// Returns the tokens that all requests of an account's queue need.
    pub fn needed_tokens(&self, account_id: &str) -> Tokens {
        let queue = self.accounts.get(account_id).into_iter().flatten();
        queue.map(|waiting| waiting.needed_tokens).sum()
    }

    /// Reserves the tokens of the first request of an account's queue and takes it out, if they are
    /// held.
    pub fn grant_first(
        &mut self,
        account_id: &str,
        holding: &mut TokenHolding,
        now: Uptime,
    ) -> Option<WaitingRequest> {
        let first = self.first(account_id)?;
        if !holding.try_reserve(account_id, first.needed_tokens, now) {
            return None;
        }
        self.leave(account_id, first.ticket);
        Some(first)
    }
}
