//! The ledger as read from the log, with the tokens that this process holds.

use std::collections::HashMap;
use std::time::Duration;

use sassafrashoist_core::gateway::holder_record::HolderRecord;
use sassafrashoist_core::gateway::token_banks::TokenBanks;
use sassafrashoist_core::gateway::token_holding::TokenHolding;
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
    /// Counts the questions to other VMs.
    pub transfer_count: u64,
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
    /// What it wrote last.
    pub record: HolderRecord,
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
    pub fn is_bank(&self, vm_id: &str) -> bool {
        TokenBanks::pick(&self.ledger).contains(vm_id)
    }

    /// Returns the other VMs that may have tokens of an account, the one with most first.
    ///
    /// What a VM said itself a moment ago goes before its record. One that had none may get some,
    /// so it is asked again after a while.
    pub fn rich_peers(&self, account_id: &str, data_centre_id: &str, now: Uptime) -> Vec<RichPeer> {
        let own_vm_id = self.holding.holder_id().split('/').next().unwrap_or_default();
        let banks = TokenBanks::pick(&self.ledger);
        let others = self
            .ledger
            .live_holders()
            .filter(|(_, record)| record.vm_id != own_vm_id && banks.contains(&record.vm_id));
        let mut peers: Vec<RichPeer> = others
            .map(|(holder_id, record)| RichPeer {
                holder_id: holder_id.clone(),
                record: record.clone(),
                available_tokens: self.believed_tokens(holder_id, record, account_id, now),
            })
            .filter(|peer| peer.available_tokens > 0)
            .collect();
        // In a large fleet those of the own data centre are asked first; all have tokens.
        let is_remote = |peer: &RichPeer| {
            banks.count() < self.ledger.live_holders().count()
                && peer.record.data_centre_id != data_centre_id
        };
        peers.sort_by_key(|peer| (is_remote(peer), std::cmp::Reverse(peer.available_tokens)));
        peers
    }

    /// Returns the tokens that an account still has according to the ledger and this process,
    /// wherever they are.
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
