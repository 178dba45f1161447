//! The ledger as read from the log, with the tokens that this process holds.
//!
//! An account's tokens are prepaid. A holder draws a part of them from the ledger before requests
//! need them, reserves the worst case of each request, and settles what the request used.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::allocator_vms::AllocatorVms;
use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::permit_issuers::PermitIssuers;
use sassafrashoist_core::gateway::token_holding::{TokenHolding, TransferId};
use sassafrashoist_core::gateway::token_ledger::TokenLedger;
use sassafrashoist_core::gateway::token_prefetch::TokenPrefetch;
use sassafrashoist_core::gateway::token_queue::{Ticket, TokenQueue};
use sassafrashoist_core::gateway::{HolderId, Uptime};
use sassafrashoist_core::ids::{ClientAccountId, Tokens};
use tokio::sync::oneshot;

/// How long after a search that found too few tokens no other search is started.
const SHORTAGE_VALIDITY: Duration = Duration::from_millis(300);
/// How long the token counts in a response of another VM are used.
const REPORT_VALIDITY: Duration = Duration::from_millis(400);
/// The number of times that this time doubles while another VM reports no tokens again and again.
const MAX_EMPTY_DOUBLINGS: u32 = 2;

/// The ledger as read from the log, with the tokens that this process holds, the requests that wait
/// for tokens, and what other VMs reported of their tokens.
#[derive(Debug)]
pub struct TokenBook {
    /// The ledger.
    pub ledger: TokenLedger,
    /// The tokens that this process holds.
    pub holding: TokenHolding,
    /// The VMs in the ledger that issue permits for backend servers that name limits.
    pub issuers: PermitIssuers,
    /// When the ledger was last read to its end.
    pub read_at: Option<Uptime>,
    transfer_count: u64,
    /// The requests that wait for tokens.
    pub queue: TokenQueue,
    /// Decides how many tokens to prefetch.
    pub prefetch: TokenPrefetch,
    /// One sender for each queued request; notifies the request when its tokens are reserved.
    grant_senders: HashMap<Ticket, oneshot::Sender<()>>,
    /// The accounts whose tokens are being fetched.
    pub fetching: HashSet<ClientAccountId>,
    /// The used tokens that other holders reported, and when.
    reported_spent: HashMap<ClientAccountId, HashMap<HolderId, (Uptime, Tokens)>>,
    reported_available: HashMap<(HolderId, ClientAccountId), AvailableTokens>,
    shortages: HashMap<ClientAccountId, Shortage>,
}

/// The spendable tokens of an account that another holder reported.
#[derive(Debug, Clone, Copy)]
struct AvailableTokens {
    at: Uptime,
    tokens: i64,
    /// How many reports in a row said that there are none.
    empty_count: u32,
    /// The number of the holder's newest record at that time.
    record_sequence: u64,
}

impl AvailableTokens {
    fn is_valid(&self, record: &HolderRecord, account_id: &str, now: Uptime) -> bool {
        let has_gained = record.sequence > self.record_sequence
            && record.account(account_id).is_some_and(|held| held.spendable_tokens() > 0);
        if self.empty_count > 0 && has_gained {
            return false;
        }
        let doublings = self.empty_count.saturating_sub(1).min(MAX_EMPTY_DOUBLINGS);
        now < self.at + REPORT_VALIDITY * 2_u32.pow(doublings)
    }
}

/// A search for tokens that found too few.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    at: Uptime,
    needed_tokens: Tokens,
}

/// Another VM that may have tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHolder {
    /// The id of the incarnation of its process.
    pub holder_id: HolderId,
    /// The address to which other VMs send messages.
    pub address: SocketAddr,
    /// The tokens that it is assumed to have.
    pub available_tokens: i64,
}

impl TokenBook {
    /// Creates a book without tokens.
    pub fn new(holding: TokenHolding, issuers: PermitIssuers) -> Self {
        Self {
            ledger: TokenLedger::default(),
            holding,
            issuers,
            read_at: None,
            transfer_count: 0,
            queue: TokenQueue::default(),
            prefetch: TokenPrefetch::default(),
            grant_senders: HashMap::new(),
            fetching: HashSet::new(),
            reported_spent: HashMap::new(),
            reported_available: HashMap::new(),
            shortages: HashMap::new(),
        }
    }

    /// Reserves the worst-case tokens of a request if this VM can spend them and no other request
    /// of the account waits.
    pub fn try_reserve_unqueued(
        &mut self,
        account_id: &str,
        needed_tokens: Tokens,
        now: Uptime,
    ) -> bool {
        self.queue.first(account_id).is_none()
            && self.holding.try_reserve(account_id, needed_tokens, now)
    }

    /// Adds a request at the end of its account's queue. The receiver is notified when the tokens
    /// are reserved, or fails when the request is removed without them.
    pub fn join_queue(
        &mut self,
        account_id: &str,
        needed_tokens: Tokens,
    ) -> (Ticket, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.queue.enqueue(account_id, needed_tokens);
        self.grant_senders.insert(ticket, sender);
        (ticket, receiver)
    }

    /// Removes a request from its account's queue.
    pub fn leave_queue(&mut self, account_id: &str, ticket: Ticket) {
        self.queue.remove(account_id, ticket);
        self.grant_senders.remove(&ticket);
    }

    /// Reserves the spendable tokens of this VM for the requests that wait for them.
    pub fn serve_queue(&mut self, now: Uptime) {
        for account_id in self.queue.waiting_accounts() {
            while let Some(granted) = self.queue.grant_first(&account_id, &mut self.holding, now) {
                let sender = self.grant_senders.remove(&granted.ticket);
                if sender.is_none_or(|sender| sender.send(()).is_err()) {
                    self.holding.release(&account_id, granted.needed_tokens);
                }
            }
        }
    }

    /// Returns the tokens that the requests of an account's queue lack.
    pub fn missing_tokens(&self, account_id: &str, now: Uptime) -> Tokens {
        let spendable = self.holding.spendable_tokens(account_id, now).max(0) as Tokens;
        self.queue.total_needed_tokens(account_id).saturating_sub(spendable)
    }

    /// Returns the tokens of an account to prefetch from other VMs.
    pub fn prefetch_tokens(&self, account_id: &str, now: Uptime) -> Tokens {
        if self.draws_tokens() {
            return 0;
        }
        let use_tokens_per_s = self.holding.use_tokens_per_s(account_id, now);
        self.prefetch
            .prefetch_tokens(use_tokens_per_s, self.holding.typical_request_tokens(account_id))
    }

    /// Returns whether tokens of an account should be requested before a request lacks them.
    pub fn should_prefetch(&self, account_id: &str, now: Uptime) -> bool {
        let use_tokens_per_s = self.holding.use_tokens_per_s(account_id, now);
        let typical_request_tokens = self.holding.typical_request_tokens(account_id);
        let spendable_tokens = self.holding.spendable_tokens(account_id, now);
        self.prefetch.is_low(spendable_tokens, use_tokens_per_s, typical_request_tokens)
            && !self.draws_tokens()
    }

    /// Returns whether appending a record to the ledger could make tokens of an account spendable
    /// on this VM.
    pub fn may_gain_tokens_by_append(
        &self,
        account_id: &str,
        paid_tokens: Tokens,
        now: Uptime,
    ) -> bool {
        let undrawn = paid_tokens as i64 - self.ledger.net_drawn_tokens(account_id);
        self.holding.is_restricted_by_limit(account_id, now) || (undrawn > 0 && self.draws_tokens())
    }

    /// Records that a search found too few tokens for a request.
    pub fn record_shortage(&mut self, account_id: &str, needed_tokens: Tokens, now: Uptime) {
        self.shortages.insert(account_id.to_owned(), Shortage { at: now, needed_tokens });
    }

    /// Returns whether a search for as many tokens, or fewer, failed so recently that another one
    /// would fail too.
    pub fn has_recent_shortage(
        &self,
        account_id: &str,
        needed_tokens: Tokens,
        now: Uptime,
    ) -> bool {
        self.shortages.get(account_id).is_some_and(|shortage| {
            now < shortage.at + SHORTAGE_VALIDITY && shortage.needed_tokens <= needed_tokens
        })
    }

    /// Records the tokens that another VM reported that it still has.
    pub fn record_available_tokens(
        &mut self,
        holder_id: &str,
        account_id: &str,
        available: i64,
        now: Uptime,
    ) {
        let key = (holder_id.to_owned(), account_id.to_owned());
        let earlier_empty_count = self.reported_available.get(&key).map_or(0, |r| r.empty_count);
        let newest = self.ledger.newest_record(holder_id);
        let reported = AvailableTokens {
            at: now,
            tokens: available,
            empty_count: if available > 0 { 0 } else { earlier_empty_count.saturating_add(1) },
            record_sequence: newest.map_or(0, |(_, record)| record.sequence),
        };
        self.reported_available.insert(key, reported);
    }

    /// Returns whether this VM draws tokens from the ledger, that is, whether it is an allocator
    /// VM. Computed from the whole ledger.
    pub fn draws_tokens(&self) -> bool {
        AllocatorVms::select(&self.ledger).contains(self.holding.vm_id())
    }

    /// Returns the other allocator VMs that may have tokens of an account, those with the most
    /// tokens first. In a large fleet, the VMs of this VM's data centre come before all others.
    ///
    /// A recent response of a VM takes precedence over its record in the ledger. A VM that had no
    /// tokens may get some, so it is included again when its response is no longer recent.
    pub fn peers_with_tokens(&self, account_id: &str, now: Uptime) -> Vec<PeerHolder> {
        let allocators = AllocatorVms::select(&self.ledger);
        let prefers_nearby = !allocators.includes_every_vm();
        let assumed = |holder_id: &HolderId, record: &HolderRecord| {
            self.assumed_tokens(holder_id, record, account_id, now)
        };
        let mut peers = self.peers(&allocators, assumed);
        peers.retain(|(_, peer)| peer.available_tokens > 0);
        peers.sort_by_key(|(is_remote, peer)| {
            (prefers_nearby && *is_remote, Reverse(peer.available_tokens))
        });
        peers.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Returns the other allocator VMs, those of this VM's data centre first.
    pub fn peers_by_distance(&self) -> Vec<PeerHolder> {
        let (nearby, remote) = self.peers_near_and_remote();
        nearby.into_iter().chain(remote).collect()
    }

    /// Returns the other allocator VMs: those of this VM's data centre, and those of others.
    pub fn peers_near_and_remote(&self) -> (Vec<PeerHolder>, Vec<PeerHolder>) {
        let peers = self.peers(&AllocatorVms::select(&self.ledger), |_, _| 0);
        let (remote, nearby): (Vec<_>, Vec<_>) =
            peers.into_iter().partition(|(is_remote, _)| *is_remote);
        let without_distance =
            |peers: Vec<(bool, PeerHolder)>| peers.into_iter().map(|(_, peer)| peer).collect();
        (without_distance(nearby), without_distance(remote))
    }

    /// Returns the addresses at which all other VMs receive messages.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let others =
            self.ledger.live_holders().filter(|(_, record)| record.vm_id != *self.holding.vm_id());
        others.map(|(_, record)| record.peer_address).collect()
    }

    /// Returns a new id for a transfer that this VM starts.
    pub fn next_transfer_id(&mut self) -> TransferId {
        self.transfer_count += 1;
        (self.holding.holder_id().clone(), self.transfer_count)
    }

    /// Returns the other allocator VMs, each with whether it is in another data centre.
    fn peers(
        &self,
        allocators: &AllocatorVms,
        available: impl Fn(&HolderId, &HolderRecord) -> i64,
    ) -> Vec<(bool, PeerHolder)> {
        let others = self.ledger.live_holders().filter(|(_, record)| {
            record.vm_id != *self.holding.vm_id() && allocators.contains(&record.vm_id)
        });
        let peers = others.map(|(holder_id, record)| {
            let is_remote = record.data_centre_id != *self.holding.data_centre_id();
            let peer = PeerHolder {
                holder_id: holder_id.clone(),
                address: record.peer_address,
                available_tokens: available(holder_id, record),
            };
            (is_remote, peer)
        });
        peers.collect()
    }

    /// Records the tokens that another holder reported as used.
    pub fn record_spent_tokens(
        &mut self,
        holder_id: &str,
        account_id: &str,
        spent_tokens: Tokens,
        now: Uptime,
    ) {
        let spent_by = self.reported_spent.entry(account_id.to_owned()).or_default();
        spent_by.insert(holder_id.to_owned(), (now, spent_tokens));
    }

    /// Returns the tokens that an account still has on all VMs, computed from the ledger, the use
    /// on this VM and recent reports of other holders. The records of these holders follow later
    /// and may show less use, since a report counts requests in progress with their worst case.
    pub fn unspent_tokens(&self, account_id: &str, paid_tokens: Tokens, now: Uptime) -> i64 {
        let own = (self.holding.holder_id(), self.holding.spent_tokens(account_id));
        let reports = self.reported_spent.get(account_id).into_iter().flatten();
        let recent = reports.filter(|(_, (reported_at, _))| now < *reported_at + REPORT_VALIDITY);
        let newer = recent.map(|(holder_id, (_, spent))| (holder_id, *spent)).chain([own]);
        let unreported = newer.map(|(holder_id, spent)| {
            let record = self.ledger.newest_record(holder_id).map(|(_, record)| record);
            let reported = record.and_then(|record| record.account(account_id));
            spent.saturating_sub(reported.map_or(0, |held| held.spent_tokens))
        });
        let spent = self.ledger.spent_tokens(account_id) + unreported.sum::<Tokens>();
        paid_tokens as i64 - spent as i64
    }

    /// Returns the tokens that another holder is assumed to have: at least 1 if it has not reported
    /// recently, so that a holder without tokens in its record is still tried.
    fn assumed_tokens(
        &self,
        holder_id: &str,
        record: &HolderRecord,
        account_id: &str,
        now: Uptime,
    ) -> i64 {
        let key = (holder_id.to_owned(), account_id.to_owned());
        match self.reported_available.get(&key) {
            Some(reported) if reported.is_valid(record, account_id, now) => reported.tokens,
            _ => record.account(account_id).map_or(0, |held| held.spendable_tokens()).max(1),
        }
    }
}
