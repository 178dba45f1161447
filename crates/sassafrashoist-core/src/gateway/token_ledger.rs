//! The ledger of prepaid tokens: the newest record of each holder, in the order of the log.
//!
//! A holder draws tokens by appending its record on the condition that the log ends at the offset
//! up to which the holder has read. So every draw is decided on the whole ledger, and the tokens
//! drawn by all holders never exceed what the account paid for, even if VMs are disconnected,
//! frozen or lost. The tokens of a holder that is gone stay drawn.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use super::HolderId;
use super::account_totals::AccountTotals;
use super::holder_record::HolderRecord;
use crate::ids::{ClientAccountId, LogOffset, Tokens};

/// The ledger as of an offset of the log.
#[derive(Debug, Default)]
pub struct TokenLedger {
    holders: BTreeMap<HolderId, (LogOffset, HolderRecord)>,
    unreadable: BTreeSet<HolderId>,
    end_offset: LogOffset,
    /// Computed once after each change: many decisions use the sums, over hundreds of holders.
    totals: OnceCell<BTreeMap<ClientAccountId, AccountTotals>>,
}

impl TokenLedger {
    /// Records that a holder's record cannot be read. The tokens that the holder drew are unknown,
    /// so no tokens may be drawn until a record of that holder can be read again.
    pub fn record_unreadable(&mut self, holder_id: HolderId) {
        self.unreadable.insert(holder_id);
    }

    /// Returns whether the tokens drawn by every holder are known.
    pub fn is_fully_readable(&self) -> bool {
        self.unreadable.is_empty()
    }

    /// Applies a record, unless a newer one of its holder has been applied. The order is that of
    /// the holder's sequence numbers, because a log that has lost records reuses their offsets.
    pub fn apply(&mut self, offset: LogOffset, holder_id: HolderId, record: HolderRecord) {
        self.unreadable.remove(&holder_id);
        let order = |offset: &LogOffset, record: &HolderRecord| (record.sequence, *offset);
        let newest = self.holders.get(&holder_id).map(|(offset, record)| order(offset, record));
        if newest.is_none_or(|newest| newest < order(&offset, &record)) {
            self.holders.insert(holder_id, (offset, record));
            self.totals.take();
        }
    }

    /// Records that everything before an offset has been applied.
    pub fn advance_end_offset(&mut self, end_offset: LogOffset) {
        self.end_offset = self.end_offset.max(end_offset);
    }

    /// Records that the newest record of each key of a log that ends at `end_offset` has been
    /// applied; returns whether the log has lost records that were applied before.
    ///
    /// The lost records still count, because their holders still have the tokens.
    pub fn set_end_offset(&mut self, end_offset: LogOffset) -> bool {
        let has_lost_records = end_offset < self.end_offset;
        self.end_offset = end_offset;
        self.totals.take();
        for (offset, _) in self.holders.values_mut() {
            // Records that are appended from now on are newer.
            *offset = (*offset).min(end_offset.saturating_sub(1));
        }
        has_lost_records
    }

    /// Returns the offset before which everything has been applied.
    pub fn end_offset(&self) -> LogOffset {
        self.end_offset
    }

    /// Returns the newest record of a holder and its offset.
    pub fn newest_record(&self, holder_id: &str) -> Option<&(LogOffset, HolderRecord)> {
        self.holders.get(holder_id)
    }

    /// Returns the tokens of an account that all holders drew, minus those that they returned.
    pub fn net_drawn_tokens(&self, account_id: &str) -> i64 {
        self.account_totals(account_id).net_drawn_tokens
    }

    /// Returns the tokens of an account that all holders reported as used.
    pub fn spent_tokens(&self, account_id: &str) -> Tokens {
        self.account_totals(account_id).spent_tokens
    }

    /// Returns the rate at which all VMs use tokens of an account.
    pub fn use_tokens_per_s(&self, account_id: &str) -> Tokens {
        self.account_totals(account_id).use_tokens_per_s
    }

    /// Returns the newest holder of each VM, unless its record is closed. A holder whose process
    /// died is included until a record closes it.
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

    /// Returns whether a holder has a record and has not closed it.
    pub fn is_open(&self, holder_id: &str) -> bool {
        self.holders.get(holder_id).is_some_and(|(_, record)| !record.is_closed)
    }

    fn account_totals(&self, account_id: &str) -> AccountTotals {
        let totals = self.totals.get_or_init(|| self.compute_totals());
        totals.get(account_id).copied().unwrap_or_default()
    }

    fn compute_totals(&self) -> BTreeMap<ClientAccountId, AccountTotals> {
        let mut totals: BTreeMap<ClientAccountId, AccountTotals> = BTreeMap::new();
        for held in self.holders.values().flat_map(|(_, record)| &record.accounts) {
            let sums = totals.entry(held.account_id.clone()).or_default();
            sums.net_drawn_tokens = sums.net_drawn_tokens.saturating_add(held.net_drawn_tokens);
            sums.spent_tokens = sums.spent_tokens.saturating_add(held.spent_tokens);
        }
        for held in self.live_holders().flat_map(|(_, record)| &record.accounts) {
            let sums = totals.entry(held.account_id.clone()).or_default();
            sums.use_tokens_per_s = sums.use_tokens_per_s.saturating_add(held.use_tokens_per_s);
        }
        totals
    }
}
