//! The ledger of prepaid tokens: the newest record of each holder, in the order of the log.
//!
//! A holder draws tokens by appending its record on the condition that the log ends where it has
//! read to. So every draw is decided on the whole ledger, and the tokens drawn by all holders never
//! exceed what the account paid for, whatever is cut off, frozen or lost. A holder that is gone
//! keeps what it drew.

use std::collections::{BTreeMap, BTreeSet};

use super::HolderId;
use super::holder_record::{HeldTokens, HolderRecord};
use crate::ids::{LogOffset, Tokens};

/// The ledger as of an offset of the log.
#[derive(Debug, Default)]
pub struct TokenLedger {
    holders: BTreeMap<HolderId, (LogOffset, HolderRecord)>,
    unreadable: BTreeSet<HolderId>,
    end: LogOffset,
}

impl TokenLedger {
    /// Notes a record that cannot be read: what its holder drew is not known, so nothing more may be
    /// drawn until a record of it can be read again.
    pub fn note_unreadable(&mut self, holder_id: HolderId) {
        self.unreadable.insert(holder_id);
    }

    /// Returns whether what all holders drew is known.
    pub fn is_readable(&self) -> bool {
        self.unreadable.is_empty()
    }

    /// Takes over a record, unless a newer one of its holder is known.
    pub fn apply(&mut self, offset: LogOffset, holder_id: HolderId, record: HolderRecord) {
        self.unreadable.remove(&holder_id);
        let known = self.holders.get(&holder_id).map(|(offset, _)| *offset);
        if known.is_none_or(|known| known < offset) {
            self.holders.insert(holder_id, (offset, record));
        }
    }

    /// Records that everything before an offset was taken over.
    pub fn read_to(&mut self, end: LogOffset) {
        self.end = self.end.max(end);
    }

    /// Returns the offset up to which everything was taken over.
    pub fn end(&self) -> LogOffset {
        self.end
    }

    /// Returns the newest record of a holder and its offset.
    pub fn holder(&self, holder_id: &str) -> Option<&(LogOffset, HolderRecord)> {
        self.holders.get(holder_id)
    }

    /// Returns what all holders drew of an account.
    pub fn granted_tokens(&self, account_id: &str) -> i64 {
        self.held(account_id).map(|held| held.granted_tokens).sum()
    }

    /// Returns what all holders reported as used of an account.
    pub fn spent_tokens(&self, account_id: &str) -> Tokens {
        self.held(account_id).map(|held| held.spent_tokens).sum()
    }

    /// Returns what all VMs use of an account a second.
    pub fn use_tokens_per_s(&self, account_id: &str) -> Tokens {
        let live = self.live_holders();
        let held = live.filter_map(|(_, record)| record.account(account_id));
        held.map(|held| held.use_tokens_per_s).sum()
    }

    /// Returns the newest run of each VM that has not ended in order.
    pub fn live_holders(&self) -> impl Iterator<Item = (&HolderId, &HolderRecord)> {
        let mut newest: BTreeMap<&str, (LogOffset, &HolderId, &HolderRecord)> = BTreeMap::new();
        for (holder_id, (offset, record)) in &self.holders {
            let entry = newest.entry(record.vm_id.as_str()).or_insert((*offset, holder_id, record));
            if entry.0 < *offset {
                *entry = (*offset, holder_id, record);
            }
        }
        let newest = newest.into_values().filter(|(_, _, record)| !record.is_closed);
        newest.map(|(_, holder_id, record)| (holder_id, record))
    }

    fn held<'a>(&'a self, account_id: &'a str) -> impl Iterator<Item = &'a HeldTokens> {
        self.holders.values().filter_map(|(_, record)| record.account(account_id))
    }
}
