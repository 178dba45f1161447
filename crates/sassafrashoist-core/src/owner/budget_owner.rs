//! The table of an owner: accounts by budget and entries by request key.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::admit::{AdmitDecision, AdmitRequest};
use super::owner_changes::OwnerChanges;
use super::settle::{RedirectRequest, SettleDecision, SettleOutcome, SettleRequest};
use crate::budgets::escrow_account::EscrowAccount;
use crate::ids::{AttemptNumber, BudgetId, RequestKey, RouteId, Timestamp, Tokens};
use crate::invariants::{Invariant, Invariants};
use crate::requests::key_entry::{EarlierAttempts, KeyEntry, KeyState, StoredResponse};
use crate::requests::key_table::{KeyLookup, KeyTable, KeyTableLimits, LOSS_TIME_UNSET};
use crate::result_code::ResultCode;

/// The delay suggested to a caller that is refused because the key table is full or tokens are
/// short.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The cost and result that close an entry.
#[derive(Debug)]
struct Bill {
    used_tokens: Tokens,
    code: ResultCode,
    response: Option<StoredResponse>,
}

/// The accounts and key entries of one owner, and which of them changed since the last delta.
#[derive(Debug)]
pub struct BudgetOwner {
    accounts: BTreeMap<BudgetId, EscrowAccount>,
    keys: KeyTable,
    changed_budgets: BTreeSet<BudgetId>,
    changed_keys: BTreeSet<RequestKey>,
}

impl BudgetOwner {
    /// Creates an empty table.
    pub fn new(limits: KeyTableLimits) -> Self {
        Self {
            accounts: BTreeMap::new(),
            keys: KeyTable::new(limits),
            changed_budgets: BTreeSet::new(),
            changed_keys: BTreeSet::new(),
        }
    }

    /// Credits drawn tokens, given the total drawn so far according to the ledger.
    ///
    /// Only the difference to what the account has already counted as drawn is added.
    pub fn credit_draws(&mut self, budget_id: &str, total_drawn_tokens: Tokens) {
        let counted_tokens = self.account(budget_id).drawn_tokens;
        if total_drawn_tokens > counted_tokens {
            self.change_account(budget_id).draw(total_drawn_tokens - counted_tokens);
        }
    }

    /// Removes held tokens to send them to another owner; false when too few are held.
    #[must_use]
    pub fn try_send(&mut self, budget_id: &str, tokens: Tokens) -> bool {
        self.change_account(budget_id).try_send(tokens)
    }

    /// Adds tokens that another owner sent.
    pub fn receive(&mut self, budget_id: &str, tokens: Tokens) {
        self.change_account(budget_id).receive(tokens);
    }

    /// Returns whether an account or entry changed since the last [`Self::take_changes`].
    pub fn is_changed(&self) -> bool {
        !self.changed_budgets.is_empty() || !self.changed_keys.is_empty()
    }

    /// Returns the accounts and entries that changed since the last call, or all of them for a full
    /// copy.
    pub fn take_changes(&mut self, is_full: bool) -> OwnerChanges {
        let entries_lost_at = self.keys.entries_lost_at();
        let changed_budgets = std::mem::take(&mut self.changed_budgets);
        let changed_keys = std::mem::take(&mut self.changed_keys);
        if is_full {
            let entries = self.keys.entries();
            let entries = entries.map(|(key, entry)| (key.clone(), Some(entry.clone())));
            return OwnerChanges {
                accounts: self.accounts.clone(),
                entries_lost_at,
                keys: entries.collect(),
            };
        }
        let accounts = changed_budgets.into_iter().map(|id| {
            let account = self.account(&id);
            (id, account)
        });
        let entries = changed_keys.into_iter().map(|key| {
            let entry = self.keys.entry(&key).cloned();
            (key, entry)
        });
        OwnerChanges { accounts: accounts.collect(), entries_lost_at, keys: entries.collect() }
    }

    /// Records that the entries of an earlier owner were lost. For a time, requests that may not
    /// run twice are then refused if their key is unknown, because it may be among the lost ones.
    pub fn mark_entries_lost(&mut self) {
        self.keys.set_entries_lost_at(Some(LOSS_TIME_UNSET));
    }

    /// Clears the record of which accounts and entries changed.
    pub fn forget_changes(&mut self) {
        self.changed_budgets.clear();
        self.changed_keys.clear();
    }

    /// Applies changes replicated from another VM's table.
    pub fn apply_changes(&mut self, changes: OwnerChanges, now: Timestamp) {
        self.keys.set_entries_lost_at(changes.entries_lost_at);
        self.accounts.extend(changes.accounts);
        for (key, entry) in changes.keys {
            self.keys.restore(key, entry, now);
        }
    }

    fn change_account(&mut self, budget_id: &str) -> &mut EscrowAccount {
        self.changed_budgets.insert(budget_id.to_owned());
        self.accounts.entry(budget_id.to_owned()).or_default()
    }

    /// Returns the account of a budget; an empty one if there is none.
    pub fn account(&self, budget_id: &str) -> EscrowAccount {
        self.accounts.get(budget_id).copied().unwrap_or_default()
    }

    /// Returns all accounts by budget.
    pub fn accounts(&self) -> &BTreeMap<BudgetId, EscrowAccount> {
        &self.accounts
    }

    /// Returns the entries by key.
    pub fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// Returns the entry of a key.
    pub fn entry(&self, key: &str) -> Option<&KeyEntry> {
        self.keys.entry(key)
    }

    /// Reserves a request's worst-case cost under its key, or returns why it cannot.
    pub fn admit(&mut self, request: AdmitRequest, now: Timestamp) -> AdmitDecision {
        match self.keys.look_up(&request.key, &request.binding, now) {
            KeyLookup::Known(state) => return AdmitDecision::Known(state),
            KeyLookup::Mismatch => {
                let code = ResultCode::KeyBodyMismatch;
                return AdmitDecision::Refused { code, retry_after: None };
            }
            KeyLookup::Full => return refuse(ResultCode::KeyTableFull),
            KeyLookup::PossiblyLost(until) if !request.is_idempotent => {
                let retry_after = Some(until.saturating_sub(now));
                return AdmitDecision::Refused { code: ResultCode::OwnerOutOfReach, retry_after };
            }
            KeyLookup::PossiblyLost(_) | KeyLookup::Vacant => {}
        }
        let account = self.change_account(&request.budget_id);
        if !account.try_reserve(request.worst_case_tokens) {
            return refuse(ResultCode::BudgetShortHere);
        }
        let attempt = self.keys.first_attempt(&request.key);
        let entry = KeyEntry {
            binding: request.binding,
            budget_id: request.budget_id,
            reserved_tokens: request.worst_case_tokens,
            is_idempotent: request.is_idempotent,
            last_attempt: attempt,
            earlier: EarlierAttempts::default(),
            changed_at: now,
            state: KeyState::Running { attempt, runner: request.runner },
        };
        self.changed_keys.insert(request.key.clone());
        self.keys.insert(request.key, entry);
        AdmitDecision::Admitted { attempt }
    }

    /// Moves a request to its next attempt; `None` when its newest attempt is not `from_attempt`,
    /// or when its state allows no further attempt.
    pub fn redirect(&mut self, request: RedirectRequest, now: Timestamp) -> Option<AttemptNumber> {
        let RedirectRequest { key, from_attempt, earlier, runner } = request;
        self.changed_keys.insert(key.clone());
        self.keys.redirect(&key, from_attempt, earlier, runner, now)
    }

    /// Sets how long closed entries of each route are kept.
    pub fn set_retry_windows(&mut self, retry_windows: BTreeMap<RouteId, Duration>) {
        self.keys.set_retry_windows(retry_windows);
    }

    /// Settles an attempt; the entry is billed and closed at most once.
    ///
    /// A late outcome can still close an entry in the unknown state. An outcome of an older attempt
    /// is accepted only if that attempt ran and the request is not idempotent, because then it is
    /// the only run.
    pub fn settle(
        &mut self,
        request: SettleRequest,
        now: Timestamp,
        invariants: &Invariants,
    ) -> SettleDecision {
        let Some(entry) = self.keys.entry(&request.key) else {
            return SettleDecision::UnknownKey;
        };
        if entry.is_closed() {
            return SettleDecision::AlreadySettled;
        }
        let is_newest = entry.last_attempt == request.attempt;
        let is_only_run =
            !entry.is_idempotent && matches!(request.outcome, SettleOutcome::Ran { .. });
        if !is_newest && !is_only_run {
            return SettleDecision::SupersededAttempt;
        }
        self.changed_keys.insert(request.key.clone());
        match request.outcome {
            SettleOutcome::NotRun if entry.earlier.may_have_run => {
                invariants.record_violation(Invariant::FalseNotRun, &request.key, 1);
                self.keys.mark_unknown(&request.key, now);
                SettleDecision::Settled { billed_tokens: 0 }
            }
            SettleOutcome::NotRun => self.release(&request.key, now),
            SettleOutcome::Unknown => {
                self.keys.mark_unknown(&request.key, now);
                SettleDecision::Settled { billed_tokens: 0 }
            }
            SettleOutcome::Ran { used_tokens, response } => {
                let bill = Bill { used_tokens, code: request.code, response };
                self.bill(&request.key, bill, now, invariants)
            }
        }
    }

    fn release(&mut self, key: &str, now: Timestamp) -> SettleDecision {
        if let Some(entry) = self.keys.entry(key) {
            let reserved_tokens = entry.reserved_tokens;
            let budget_id = entry.budget_id.clone();
            self.change_account(&budget_id).settle(reserved_tokens, 0);
        }
        self.keys.release(key, now);
        SettleDecision::Settled { billed_tokens: 0 }
    }

    fn bill(
        &mut self,
        key: &str,
        bill: Bill,
        now: Timestamp,
        invariants: &Invariants,
    ) -> SettleDecision {
        let Some(entry) = self.keys.entry(key) else {
            return SettleDecision::UnknownKey;
        };
        let reserved_tokens = entry.reserved_tokens;
        let budget_id = entry.budget_id.clone();
        let account = self.change_account(&budget_id);
        let excess_tokens = account.settle(reserved_tokens, bill.used_tokens);
        if excess_tokens > 0 {
            invariants.record_violation(Invariant::OverspendTokens, key, excess_tokens);
        }
        let billed_tokens = bill.used_tokens - excess_tokens;
        let state = KeyState::Done { billed_tokens, code: bill.code, response: bill.response };
        let is_first_bill = self.keys.close(key, state, now);
        invariants.check(is_first_bill, Invariant::DoubleBills, key);
        SettleDecision::Settled { billed_tokens }
    }
}

fn refuse(code: ResultCode) -> AdmitDecision {
    AdmitDecision::Refused { code, retry_after: Some(REFUSED_RETRY_AFTER) }
}
