//! The table of an owner: accounts by budget and entries by request key.

use std::collections::BTreeMap;
use std::time::Duration;

use super::admit::{AdmitDecision, AdmitRequest};
use super::settle::{RedirectRequest, SettleDecision, SettleOutcome, SettleRequest};
use crate::budgets::escrow_account::EscrowAccount;
use crate::ids::{AttemptNumber, BudgetId, RouteId, Timestamp, Tokens};
use crate::invariants::{Invariants, Promise};
use crate::requests::key_entry::{EarlierAttempts, KeptAnswer, KeyEntry, KeyState};
use crate::requests::key_table::{KeyLookup, KeyTable, KeyTableLimits};
use crate::result_code::ResultCode;

/// The wait suggested to a caller that is refused for lack of room or tokens.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What closes an entry.
#[derive(Debug)]
struct Bill {
    used_tokens: Tokens,
    code: ResultCode,
    answer: Option<KeptAnswer>,
}

/// The owner's table.
#[derive(Debug)]
pub struct BudgetOwner {
    accounts: BTreeMap<BudgetId, EscrowAccount>,
    keys: KeyTable,
}

impl BudgetOwner {
    /// Creates an empty table.
    pub fn new(limits: KeyTableLimits) -> Self {
        Self { accounts: BTreeMap::new(), keys: KeyTable::new(limits) }
    }

    /// Adds tokens that a ledger record granted.
    pub fn grant(&mut self, budget_id: &str, tokens: Tokens) {
        self.accounts.entry(budget_id.to_owned()).or_default().grant(tokens);
    }

    /// Returns what is held of a budget.
    pub fn account(&self, budget_id: &str) -> EscrowAccount {
        self.accounts.get(budget_id).copied().unwrap_or_default()
    }

    /// Returns every account by budget.
    pub fn accounts(&self) -> &BTreeMap<BudgetId, EscrowAccount> {
        &self.accounts
    }

    /// Returns the entries by key.
    pub fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// Returns the entry of a key.
    pub fn lookup(&self, key: &str) -> Option<&KeyEntry> {
        self.keys.entry(key)
    }

    /// Reserves a request's worst case under its key, or says why not.
    pub fn admit(&mut self, request: AdmitRequest, now: Timestamp) -> AdmitDecision {
        match self.keys.look_up(&request.key, &request.binding, now) {
            KeyLookup::Known(state) => return AdmitDecision::Known(state),
            KeyLookup::Mismatch => {
                let code = ResultCode::KeyBodyMismatch;
                return AdmitDecision::Refused { code, retry_after: None };
            }
            KeyLookup::Full => return refuse(ResultCode::KeyTableFull),
            KeyLookup::Vacant => {}
        }
        let account = self.accounts.entry(request.budget_id.clone()).or_default();
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
        self.keys.insert(request.key, entry);
        AdmitDecision::Admitted { attempt }
    }

    /// Moves a request to its next attempt; `None` when another attempt took over.
    pub fn redirect(&mut self, request: RedirectRequest, now: Timestamp) -> Option<AttemptNumber> {
        let RedirectRequest { key, from_attempt, earlier, runner } = request;
        self.keys.redirect(&key, from_attempt, earlier, runner, now)
    }

    /// Sets how long closed entries of each route are kept.
    pub fn set_retry_windows(&mut self, retry_windows: BTreeMap<RouteId, Duration>) {
        self.keys.set_retry_windows(retry_windows);
    }

    /// Closes an entry with its cost, once.
    ///
    /// A late outcome closes an entry that was unknown. The outcome of an older attempt counts only
    /// where the request cannot have run twice, that is, where it is not idempotent.
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
        match request.outcome {
            SettleOutcome::NotRun if entry.earlier.may_have_run => {
                invariants.breach(Promise::FalseNotRun, &request.key, 1);
                self.keys.mark_unknown(&request.key, now);
                SettleDecision::Settled { billed_tokens: 0 }
            }
            SettleOutcome::NotRun => self.release(&request.key, now),
            SettleOutcome::Unknown => {
                self.keys.mark_unknown(&request.key, now);
                SettleDecision::Settled { billed_tokens: 0 }
            }
            SettleOutcome::Ran { used_tokens, answer } => {
                let bill = Bill { used_tokens, code: request.code, answer };
                self.bill(&request.key, bill, now, invariants)
            }
        }
    }

    fn release(&mut self, key: &str, now: Timestamp) -> SettleDecision {
        if let Some(entry) = self.keys.entry(key) {
            let account = self.accounts.entry(entry.budget_id.clone()).or_default();
            account.settle(entry.reserved_tokens, 0);
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
        let account = self.accounts.entry(entry.budget_id.clone()).or_default();
        let excess_tokens = account.settle(entry.reserved_tokens, bill.used_tokens);
        if excess_tokens > 0 {
            invariants.breach(Promise::OverspendTokens, key, excess_tokens);
        }
        let billed_tokens = bill.used_tokens - excess_tokens;
        let state = KeyState::Done { billed_tokens, code: bill.code, answer: bill.answer };
        let is_first_bill = self.keys.close(key, state, now);
        invariants.check(is_first_bill, Promise::DoubleBills, key);
        SettleDecision::Settled { billed_tokens }
    }
}

fn refuse(code: ResultCode) -> AdmitDecision {
    AdmitDecision::Refused { code, retry_after: Some(REFUSED_RETRY_AFTER) }
}
