//! The ledger of prepaid tokens: the newest record of each holder, in the order of the log.
//!
//! A holder draws tokens by appending its record on the condition that the log ends at the offset
//! up to which the holder has read. So every draw is decided on the whole ledger, and the tokens
//! drawn by all holders never exceed what the account paid for, even if VMs are disconnected,
//! frozen or lost. The tokens of a holder that is gone stay drawn.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use super::HolderId;
use super::account_totals::AccountTotals;
use super::holder_record::{HeldTokens, HolderRecord};
use crate::ids::{ClientAccountId, LogOffset, Tokens, VmId};

/// The ledger as of an offset of the log.
#[derive(Debug, Default)]
pub struct TokenLedger {
    holders: BTreeMap<HolderId, (LogOffset, HolderRecord)>,
    unreadable: BTreeSet<HolderId>,
    end_offset: LogOffset,
    /// The newest holder of each VM.
    newest_of_vms: BTreeMap<VmId, HolderId>,
    /// Updated by the difference that each record makes. Summing up hundreds of holders after each
    /// change would take a VM longer than the time to the next change.
    totals: BTreeMap<ClientAccountId, AccountTotals>,
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
            self.replace_record(offset, holder_id, record);
        }
    }

    fn replace_record(&mut self, offset: LogOffset, holder_id: HolderId, record: HolderRecord) {
        let vm_id = record.vm_id.clone();
        let earlier = self.holders.get(&holder_id).map(|(_, record)| &record.vm_id);
        if earlier.is_some_and(|earlier_vm_id| *earlier_vm_id != vm_id) {
            self.holders.insert(holder_id, (offset, record));
            return self.sum_up();
        }
        self.update_use(&vm_id, AccountTotals::remove_use);
        if let Some((_, earlier)) = self.holders.remove(&holder_id) {
            self.update_sums(&earlier, AccountTotals::remove_holder);
        }
        self.update_sums(&record, AccountTotals::add_holder);
        self.holders.insert(holder_id.clone(), (offset, record));
        self.update_newest_holder(&vm_id, &holder_id);
        self.update_use(&vm_id, AccountTotals::add_use);
    }

    /// Applies an update to the sums of each account of a record.
    fn update_sums(
        &mut self,
        record: &HolderRecord,
        update: impl Fn(&mut AccountTotals, &HeldTokens),
    ) {
        for held in &record.accounts {
            match self.totals.get_mut(&held.account_id) {
                Some(sums) => update(sums, held),
                None => update(self.totals.entry(held.account_id.clone()).or_default(), held),
            }
        }
    }

    /// Applies an update to the sums of each account of a VM's newest holder, if that is open.
    fn update_use(&mut self, vm_id: &str, update: impl Fn(&mut AccountTotals, &HeldTokens)) {
        let newest = self.newest_of_vms.get(vm_id).and_then(|id| self.holders.remove_entry(id));
        let Some((holder_id, (offset, record))) = newest else {
            return;
        };
        if !record.is_closed {
            self.update_sums(&record, update);
        }
        self.holders.insert(holder_id, (offset, record));
    }

    /// Updates which holder of a VM is the newest after a record of one of them was replaced.
    fn update_newest_holder(&mut self, vm_id: &str, holder_id: &str) {
        let offset_of = |id: &str| self.holders.get(id).map(|(offset, _)| *offset);
        let is_newest = match self.newest_of_vms.get(vm_id) {
            Some(newest) if newest == holder_id => return self.select_newest_holder(vm_id),
            Some(newest) => match offset_of(newest).cmp(&offset_of(holder_id)) {
                Ordering::Less => true,
                Ordering::Equal => return self.select_newest_holder(vm_id),
                Ordering::Greater => false,
            },
            None => true,
        };
        if is_newest {
            self.newest_of_vms.insert(vm_id.to_owned(), holder_id.to_owned());
        }
    }

    /// Selects the newest holder of a VM among all of them.
    fn select_newest_holder(&mut self, vm_id: &str) {
        let of_vm = self.holders.iter().filter(|(_, (_, record))| record.vm_id == vm_id);
        if let Some((holder_id, _)) = of_vm.rev().max_by_key(|(_, (offset, _))| *offset) {
            self.newest_of_vms.insert(vm_id.to_owned(), holder_id.clone());
        }
    }

    /// Sums up the records of all holders again.
    fn sum_up(&mut self) {
        self.newest_of_vms.clear();
        self.totals.clear();
        let vm_ids: BTreeSet<VmId> =
            self.holders.values().map(|(_, record)| record.vm_id.clone()).collect();
        for vm_id in &vm_ids {
            self.select_newest_holder(vm_id);
            self.update_use(vm_id, AccountTotals::add_use);
        }
        let holders = std::mem::take(&mut self.holders);
        for (_, record) in holders.values() {
            self.update_sums(record, AccountTotals::add_holder);
        }
        self.holders = holders;
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
        if has_lost_records {
            for (offset, _) in self.holders.values_mut() {
                // Records that are appended from now on are newer.
                *offset = (*offset).min(end_offset.saturating_sub(1));
            }
            self.sum_up();
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
        self.account_totals(account_id).net_drawn_tokens()
    }

    /// Returns the tokens of an account that all holders reported as used.
    pub fn spent_tokens(&self, account_id: &str) -> Tokens {
        self.account_totals(account_id).spent_tokens()
    }

    /// Returns the rate at which all VMs use tokens of an account.
    pub fn use_tokens_per_s(&self, account_id: &str) -> Tokens {
        self.account_totals(account_id).use_tokens_per_s()
    }

    /// Returns the newest holder of each VM, unless its record is closed. A holder whose process
    /// died is included until a record closes it.
    pub fn live_holders(&self) -> impl Iterator<Item = (&HolderId, &HolderRecord)> {
        let newest = self.newest_of_vms.values().filter_map(|id| self.holders.get_key_value(id));
        let live = newest.filter(|(_, (_, record))| !record.is_closed);
        live.map(|(holder_id, (_, record))| (holder_id, record))
    }

    /// Returns whether a holder has a record and has not closed it.
    pub fn is_open(&self, holder_id: &str) -> bool {
        self.holders.get(holder_id).is_some_and(|(_, record)| !record.is_closed)
    }

    fn account_totals(&self, account_id: &str) -> AccountTotals {
        self.totals.get(account_id).copied().unwrap_or_default()
    }
}
