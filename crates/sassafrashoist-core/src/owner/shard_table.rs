//! The replicas of all shards that one VM may hold.

use std::collections::BTreeMap;
use std::time::Duration;

use super::admit::{AdmitDecision, AdmitRequest};
use super::rebalance::BalanceReport;
use super::recent_use::RecentUse;
use super::settle::{RedirectRequest, SettleDecision, SettleRequest};
use super::shard_replica::{ChangeNumber, ShardReplica};
use crate::budgets::escrow_account::EscrowAccount;
use crate::budgets::ledger::{Ledger, LedgerChange};
use crate::budgets::shard::{SHARD_COUNT, ShardId, ShardPlace, shard_of};
use crate::ids::{AttemptNumber, BudgetId, DataCentreId, Incarnation, RouteId, Timestamp, VmId};
use crate::invariants::Invariants;
use crate::requests::key_entry::KeyEntry;

/// A change that must be committed before its result is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardChange {
    /// The shard.
    pub shard: ShardId,
    /// The number of the change.
    pub change: ChangeNumber,
}

/// The replicas of all shards of this VM's data centre.
#[derive(Debug)]
pub struct ShardTable {
    data_centre_id: DataCentreId,
    replicas: BTreeMap<ShardId, ShardReplica>,
    recent_use: RecentUse,
}

impl ShardTable {
    /// Creates the replicas of a process that starts with nothing.
    pub fn new(data_centre_id: DataCentreId, vm_id: VmId, incarnation: Incarnation) -> Self {
        let replicas = (0..SHARD_COUNT)
            .map(|shard| {
                let place = ShardPlace { data_centre_id: data_centre_id.clone(), shard };
                (shard, ShardReplica::new(place, vm_id.clone(), incarnation))
            })
            .collect();
        Self { data_centre_id, replicas, recent_use: RecentUse::default() }
    }

    /// Returns a shard's replica.
    pub fn replica(&self, shard: ShardId) -> Option<&ShardReplica> {
        self.replicas.get(&shard)
    }

    /// Returns a shard's replica to change it.
    pub fn replica_mut(&mut self, shard: ShardId) -> Option<&mut ShardReplica> {
        self.replicas.get_mut(&shard)
    }

    /// Returns all replicas by shard.
    pub fn replicas(&self) -> &BTreeMap<ShardId, ShardReplica> {
        &self.replicas
    }

    /// Sets how long closed entries of each route are kept.
    pub fn set_retry_windows(&mut self, retry_windows: &BTreeMap<RouteId, Duration>) {
        for replica in self.replicas.values_mut() {
            replica.set_retry_windows(retry_windows.clone());
        }
    }

    /// Takes up a change of the ledger.
    pub fn follow(&mut self, ledger: &Ledger, change: &LedgerChange) {
        match change {
            LedgerChange::ToppedUp(_) => {}
            LedgerChange::ViewInForce(view) => {
                if view.place.data_centre_id != self.data_centre_id {
                    return;
                }
                if let Some(replica) = self.replicas.get_mut(&view.place.shard) {
                    replica.enter_view(view);
                    replica.count_all_drawn(ledger);
                }
            }
            LedgerChange::Drawn { place, drawn_tokens, .. } => {
                if place.data_centre_id != self.data_centre_id {
                    return;
                }
                if let Some(replica) = self.replicas.get_mut(&place.shard) {
                    for budget_id in drawn_tokens.keys() {
                        replica.count_drawn(ledger, budget_id);
                    }
                }
            }
        }
    }

    /// Reserves a request's worst case; `None` when this VM does not decide for the budget.
    pub fn admit(
        &mut self,
        request: AdmitRequest,
        now: Timestamp,
    ) -> Option<(AdmitDecision, ShardChange)> {
        let shard = shard_of(&request.budget_id);
        self.change(shard, |owner| owner.admit(request, now))
    }

    /// Closes an entry; `None` when this VM does not decide for the budget.
    pub fn settle(
        &mut self,
        budget_id: &str,
        request: SettleRequest,
        now: Timestamp,
        invariants: &Invariants,
    ) -> Option<(SettleDecision, ShardChange)> {
        self.change(shard_of(budget_id), |owner| owner.settle(request, now, invariants))
    }

    /// Moves a request to its next attempt; `None` when this VM does not decide for the budget.
    pub fn redirect(
        &mut self,
        budget_id: &str,
        request: RedirectRequest,
        now: Timestamp,
    ) -> Option<(Option<AttemptNumber>, ShardChange)> {
        self.change(shard_of(budget_id), |owner| owner.redirect(request, now))
    }

    /// Returns whether this VM decides for a budget, as far as it knows.
    pub fn is_primary_for(&self, budget_id: &str) -> bool {
        self.replicas.get(&shard_of(budget_id)).is_some_and(ShardReplica::is_primary)
    }

    /// Returns what this VM holds of a budget as the primary.
    pub fn account(&self, budget_id: &str) -> EscrowAccount {
        let replica = self.replicas.get(&shard_of(budget_id)).filter(|r| r.is_primary());
        replica.map(|replica| replica.owner().account(budget_id)).unwrap_or_default()
    }

    /// Counts recent use, and returns the budgets in use that this VM decides for.
    pub fn observe_use(&mut self) -> Vec<BudgetId> {
        let primaries = self.replicas.values().filter(|replica| replica.is_primary());
        self.recent_use.observe(primaries.flat_map(|replica| replica.owner().accounts()));
        let budget_ids = self.recent_use.budgets();
        budget_ids.filter(|budget_id| self.is_primary_for(budget_id)).cloned().collect()
    }

    /// Returns the budgets in use, as counted last.
    pub fn budgets_in_use(&self) -> Vec<BudgetId> {
        self.recent_use.budgets().cloned().collect()
    }

    /// Returns what this VM holds of a budget as the primary and how much was used lately.
    pub fn balance(&self, budget_id: &str) -> BalanceReport {
        BalanceReport {
            held_tokens: self.account(budget_id).held_tokens,
            recent_use_tokens: self.recent_use.of(budget_id),
        }
    }

    /// Returns the accounts that this VM decides for.
    pub fn accounts(&self) -> BTreeMap<BudgetId, EscrowAccount> {
        let primaries = self.replicas.values().filter(|replica| replica.is_primary());
        let accounts = primaries.flat_map(|replica| replica.owner().accounts());
        accounts.map(|(budget_id, account)| (budget_id.clone(), *account)).collect()
    }

    /// Returns the entry of a key that this VM decides for.
    pub fn lookup(&self, key: &str) -> Option<&KeyEntry> {
        let mut primaries = self.replicas.values().filter(|replica| replica.is_primary());
        primaries.find_map(|replica| replica.owner().lookup(key))
    }

    /// Returns whether an unknown key of a budget may have been known before a loss of entries.
    pub fn may_have_lost_keys(&self, budget_id: &str, now: Timestamp) -> bool {
        let replica = self.replicas.get(&shard_of(budget_id));
        let lost_until = replica.and_then(|replica| replica.owner().keys().lost_until());
        lost_until.is_some_and(|lost_until| now < lost_until)
    }

    /// Returns the number of keys that this VM decides for.
    pub fn key_count(&self) -> usize {
        let primaries = self.replicas.values().filter(|replica| replica.is_primary());
        primaries.map(|replica| replica.owner().keys().len()).sum()
    }

    fn change<T>(
        &mut self,
        shard: ShardId,
        change: impl FnOnce(&mut super::budget_owner::BudgetOwner) -> T,
    ) -> Option<(T, ShardChange)> {
        let (result, change) = self.replicas.get_mut(&shard)?.change(change)?;
        Some((result, ShardChange { shard, change }))
    }
}
