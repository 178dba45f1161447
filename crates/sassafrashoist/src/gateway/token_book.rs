//! The ledger as read from the log, with the tokens that this process holds.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::token_banks::TokenBanks;
use sassafrashoist_core::gateway::token_holding::{TokenHolding, TransferId};
use sassafrashoist_core::gateway::token_ledger::TokenLedger;
use sassafrashoist_core::gateway::{HolderId, Uptime};
use sassafrashoist_core::ids::{ClientAccountId, Tokens};

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
            heard: HashMap::new(),
            shortages: HashMap::new(),
        }
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

    /// Returns whether this VM draws tokens from the ledger.
    pub fn is_bank(&self) -> bool {
        TokenBanks::pick(&self.ledger).contains(self.holding.vm_id())
    }

    /// Returns the other VMs that may have tokens of an account, the one with most first; in a large
    /// fleet those of the own data centre go before.
    ///
    /// What a VM said itself a moment ago goes before its record. One that had none may get some,
    /// so it is asked again after a while.
    pub fn rich_peers(&self, account_id: &str, now: Uptime) -> Vec<RichPeer> {
        let prefers_near = !TokenBanks::pick(&self.ledger).is_every_vm();
        let believed = |holder_id: &HolderId, record: &HolderRecord| {
            self.believed_tokens(holder_id, record, account_id, now)
        };
        let mut peers = self.peers(believed);
        peers.retain(|(_, peer)| peer.available_tokens > 0);
        peers.sort_by_key(|(is_remote, peer)| {
            (prefers_near && *is_remote, Reverse(peer.available_tokens))
        });
        peers.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Returns the other VMs that draw tokens, those of the own data centre first.
    pub fn peers_by_distance(&self) -> Vec<RichPeer> {
        let mut peers = self.peers(|_, _| 0);
        peers.sort_by_key(|(is_remote, _)| *is_remote);
        peers.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Names a transfer that this run begins.
    pub fn next_transfer_id(&mut self) -> TransferId {
        self.transfer_count += 1;
        (self.holding.holder_id().clone(), self.transfer_count)
    }

    /// Returns the other VMs that draw tokens and whether each is in another data centre.
    fn peers(&self, available: impl Fn(&HolderId, &HolderRecord) -> i64) -> Vec<(bool, RichPeer)> {
        let banks = TokenBanks::pick(&self.ledger);
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

    /// Returns the tokens that an account still has according to the ledger, wherever they are.
    pub fn unspent_tokens(&self, account_id: &str, paid_tokens: Tokens) -> i64 {
        paid_tokens as i64 - self.ledger.spent_tokens(account_id) as i64
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
            _ => record.account(account_id).map_or(0, |held| held.ready_tokens()).max(1),
        }
    }
}
