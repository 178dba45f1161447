//! The ledger as read from the log, with the tokens that this process holds.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::allocator_vms::AllocatorVms;
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::token_holding::{TokenHolding, TransferId};
use sassafrashoist_core::gateway::token_ledger::TokenLedger;
use sassafrashoist_core::gateway::token_prefetch::TokenPrefetch;
use sassafrashoist_core::gateway::token_queue::{Ticket, TokenQueue};
use sassafrashoist_core::gateway::{HolderId, Uptime};
use sassafrashoist_core::ids::{ClientAccountId, Tokens};
use tokio::sync::oneshot;

/// How long a search for tokens that failed is not repeated.
const SHORT_FOR: Duration = Duration::from_millis(300);
/// How long what another VM said of its tokens is believed.
const HEARD_FOR: Duration = Duration::from_millis(400);

/// The ledger as read from the log, with the tokens that this process holds.
#[derive(Debug)]
pub struct TokenBook {
    /// The ledger.
    pub ledger: TokenLedger,
    /// The tokens that this process holds.
    pub holding: TokenHolding,
    /// When the ledger was last read to its end.
    pub read_at: Option<Uptime>,
    transfer_count: u64,
    /// The requests that wait for tokens.
    pub queue: TokenQueue,
    /// What to ask for in advance.
    pub ask_ahead: TokenPrefetch,
    /// Whom to tell that a waiting request got its tokens.
    grants: HashMap<Ticket, oneshot::Sender<()>>,
    /// The accounts whose tokens are being fetched.
    pub fetching: HashSet<ClientAccountId>,
    heard_spent: HashMap<ClientAccountId, HashMap<HolderId, (Uptime, Tokens)>>,
    heard: HashMap<(HolderId, ClientAccountId), (Uptime, i64)>,
    shortages: HashMap<ClientAccountId, Shortage>,
}

/// A search for tokens that found too few.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    at: Uptime,
    needed_tokens: Tokens,
}

/// Another VM that may have tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RichPeer {
    /// Its run.
    pub holder_id: HolderId,
    /// Where it answers.
    pub address: SocketAddr,
    /// The tokens that it is believed to have.
    pub available_tokens: i64,
}

impl TokenBook {
    /// Creates a book without tokens.
    pub fn new(holding: TokenHolding) -> Self {
        Self {
            ledger: TokenLedger::default(),
            holding,
            read_at: None,
            transfer_count: 0,
            queue: TokenQueue::default(),
            ask_ahead: TokenPrefetch::default(),
            grants: HashMap::new(),
            fetching: HashSet::new(),
            heard_spent: HashMap::new(),
            heard: HashMap::new(),
            shortages: HashMap::new(),
        }
    }

    /// Reserves the worst case of a request if it is held and no other request waits for it.
    pub fn try_reserve_unqueued(
        &mut self,
        account_id: &str,
        needed_tokens: Tokens,
        now: Uptime,
    ) -> bool {
        self.queue.first(account_id).is_none()
            && self.holding.try_reserve(account_id, needed_tokens, now)
    }

    /// Adds a request at the end of its account's queue; the receiver hears when its tokens are
    /// reserved, or fails when it is turned away.
    pub fn join_queue(
        &mut self,
        account_id: &str,
        needed_tokens: Tokens,
    ) -> (Ticket, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.queue.enqueue(account_id, needed_tokens);
        self.grants.insert(ticket, sender);
        (ticket, receiver)
    }

    /// Takes a request out of its account's queue.
    pub fn leave_queue(&mut self, account_id: &str, ticket: Ticket) {
        self.queue.remove(account_id, ticket);
        self.grants.remove(&ticket);
    }

    /// Gives tokens that are held to the requests that wait for them.
    pub fn serve_queue(&mut self, now: Uptime) {
        for account_id in self.queue.waiting_accounts() {
            while let Some(granted) = self.queue.grant_first(&account_id, &mut self.holding, now) {
                let sender = self.grants.remove(&granted.ticket);
                if sender.is_none_or(|sender| sender.send(()).is_err()) {
                    self.holding.release(&account_id, granted.needed_tokens);
                }
            }
        }
    }

    /// Returns the tokens that the requests of an account's queue lack.
    pub fn missing_tokens(&self, account_id: &str, now: Uptime) -> Tokens {
        let held = self.holding.spendable_tokens(account_id, now).max(0) as Tokens;
        self.queue.total_needed_tokens(account_id).saturating_sub(held)
    }

    /// Returns the tokens of an account to ask other VMs for in advance.
    pub fn tokens_ahead(&self, account_id: &str, now: Uptime) -> Tokens {
        if self.is_bank() {
            return 0;
        }
        let use_tokens_per_s = self.holding.use_tokens_per_s(account_id, now);
        self.ask_ahead
            .prefetch_tokens(use_tokens_per_s, self.holding.typical_request_tokens(account_id))
    }

    /// Returns whether tokens of an account should be asked for before a request lacks them.
    pub fn runs_low(&self, account_id: &str, now: Uptime) -> bool {
        let use_tokens_per_s = self.holding.use_tokens_per_s(account_id, now);
        let usual_tokens = self.holding.typical_request_tokens(account_id);
        let held_tokens = self.holding.spendable_tokens(account_id, now);
        self.ask_ahead.is_low(held_tokens, use_tokens_per_s, usual_tokens) && !self.is_bank()
    }

    /// Returns whether a record in the ledger could bring tokens of an account here.
    pub fn gains_by_record(&self, account_id: &str, paid_tokens: Tokens, now: Uptime) -> bool {
        let undrawn = paid_tokens as i64 - self.ledger.net_drawn_tokens(account_id);
        self.holding.is_restricted_by_limit(account_id, now) || (undrawn > 0 && self.is_bank())
    }

    /// Records that too few tokens were found for a request.
    pub fn record_shortage(&mut self, account_id: &str, needed_tokens: Tokens, now: Uptime) {
        self.shortages.insert(account_id.to_owned(), Shortage { at: now, needed_tokens });
    }

    /// Returns whether a search for as many tokens has just failed, so that another one is in vain.
    pub fn is_short(&self, account_id: &str, needed_tokens: Tokens, now: Uptime) -> bool {
        self.shortages.get(account_id).is_some_and(|shortage| {
            now < shortage.at + SHORT_FOR && shortage.needed_tokens <= needed_tokens
        })
    }

    /// Records what another VM said that it still has.
    pub fn hear(&mut self, holder_id: &str, account_id: &str, available: i64, now: Uptime) {
        self.heard.insert((holder_id.to_owned(), account_id.to_owned()), (now, available));
    }

    /// Returns whether this VM draws tokens from the ledger, which is worked out from all of it.
    pub fn is_bank(&self) -> bool {
        AllocatorVms::select(&self.ledger).contains(self.holding.vm_id())
    }

    /// Returns the other VMs that may have tokens of an account, the one with most first; in a large
    /// fleet those of the own data centre go before.
    ///
    /// What a VM said itself a moment ago goes before its record. One that had none may get some,
    /// so it is asked again after a while.
    pub fn rich_peers(&self, account_id: &str, now: Uptime) -> Vec<RichPeer> {
        let banks = AllocatorVms::select(&self.ledger);
        let prefers_near = !banks.includes_every_vm();
        let believed = |holder_id: &HolderId, record: &HolderRecord| {
            self.believed_tokens(holder_id, record, account_id, now)
        };
        let mut peers = self.peers(&banks, believed);
        peers.retain(|(_, peer)| peer.available_tokens > 0);
        peers.sort_by_key(|(is_remote, peer)| {
            (prefers_near && *is_remote, Reverse(peer.available_tokens))
        });
        peers.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Returns the other VMs that draw tokens, those of the own data centre first.
    pub fn peers_by_distance(&self) -> Vec<RichPeer> {
        let mut peers = self.peers(&AllocatorVms::select(&self.ledger), |_, _| 0);
        peers.sort_by_key(|(is_remote, _)| *is_remote);
        peers.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Names a transfer that this run begins.
    pub fn next_transfer_id(&mut self) -> TransferId {
        self.transfer_count += 1;
        (self.holding.holder_id().clone(), self.transfer_count)
    }

    /// Returns the other VMs that draw tokens and whether each is in another data centre.
    fn peers(
        &self,
        banks: &AllocatorVms,
        available: impl Fn(&HolderId, &HolderRecord) -> i64,
    ) -> Vec<(bool, RichPeer)> {
        let others = self.ledger.live_holders().filter(|(_, record)| {
            record.vm_id != *self.holding.vm_id() && banks.contains(&record.vm_id)
        });
        let peers = others.map(|(holder_id, record)| {
            let is_remote = record.data_centre_id != *self.holding.data_centre_id();
            let peer = RichPeer {
                holder_id: holder_id.clone(),
                address: record.peer_address,
                available_tokens: available(holder_id, record),
            };
            (is_remote, peer)
        });
        peers.collect()
    }

    /// Records what another run said that it used.
    pub fn hear_spent(
        &mut self,
        holder_id: &str,
        account_id: &str,
        spent_tokens: Tokens,
        now: Uptime,
    ) {
        let spent_by = self.heard_spent.entry(account_id.to_owned()).or_default();
        spent_by.insert(holder_id.to_owned(), (now, spent_tokens));
    }

    /// Returns the tokens that an account still has, wherever they are: by the ledger, by what this
    /// VM used and by what others said a moment ago. Their records say it later, and may say less,
    /// since requests in progress count at their worst case.
    pub fn unspent_tokens(&self, account_id: &str, paid_tokens: Tokens, now: Uptime) -> i64 {
        let own = (self.holding.holder_id(), self.holding.spent_tokens(account_id));
        let heard = self.heard_spent.get(account_id).into_iter().flatten();
        let recent = heard.filter(|(_, (heard_at, _))| now < *heard_at + HEARD_FOR);
        let newer = recent.map(|(holder_id, (_, spent))| (holder_id, *spent)).chain([own]);
        let unreported = newer.map(|(holder_id, spent)| {
            let record = self.ledger.newest_record(holder_id).map(|(_, record)| record);
            let reported = record.and_then(|record| record.account(account_id));
            spent.saturating_sub(reported.map_or(0, |held| held.spent_tokens))
        });
        let spent = self.ledger.spent_tokens(account_id) + unreported.sum::<Tokens>();
        paid_tokens as i64 - spent as i64
    }

    fn believed_tokens(
        &self,
        holder_id: &str,
        record: &HolderRecord,
        account_id: &str,
        now: Uptime,
    ) -> i64 {
        let key = (holder_id.to_owned(), account_id.to_owned());
        match self.heard.get(&key) {
            Some((heard_at, available)) if now < *heard_at + HEARD_FOR => *available,
            _ => record.account(account_id).map_or(0, |held| held.spendable_tokens()).max(1),
        }
    }
}
