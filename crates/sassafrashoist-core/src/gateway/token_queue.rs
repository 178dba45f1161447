//! Requests that wait for tokens of their client account.
//!
//! Much of an account's traffic may reach one VM that holds few tokens, tens of requests at a time.
//! If each request fetched the tokens that it lacks by itself, all would count on the same held
//! tokens, and the first ones would reserve what others had fetched. So the requests wait in one
//! queue for each account, tokens are fetched for all of them together, and the first in the queue
//! gets its tokens first, whatever its size.

use std::collections::{BTreeMap, VecDeque};

use super::Uptime;
use super::token_holding::TokenHolding;
use crate::ids::{ClientAccountId, Tokens};

/// Identifies an entry of the queue.
pub type Ticket = u64;

/// A request that waits for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Its queue entry.
    pub ticket: Ticket,
    /// The most tokens that it may use.
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
    pub fn enqueue(&mut self, account_id: &str, needed_tokens: Tokens) -> Ticket {
        self.last_ticket += 1;
        let waiting = WaitingRequest { ticket: self.last_ticket, needed_tokens };
        self.accounts.entry(account_id.to_owned()).or_default().push_back(waiting);
        self.last_ticket
    }

    /// Removes a request from its account's queue.
    pub fn remove(&mut self, account_id: &str, ticket: Ticket) {
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
    pub fn waiting_accounts(&self) -> Vec<ClientAccountId> {
        self.accounts.keys().cloned().collect()
    }

    /// Returns the tokens that all requests of an account's queue need together.
    pub fn total_needed_tokens(&self, account_id: &str) -> Tokens {
        let queue = self.accounts.get(account_id).into_iter().flatten();
        queue.map(|waiting| waiting.needed_tokens).sum()
    }

    /// Reserves the tokens of the first request of an account's queue and removes the request, if
    /// enough tokens can be reserved.
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
        self.remove(account_id, first.ticket);
        Some(first)
    }
}
