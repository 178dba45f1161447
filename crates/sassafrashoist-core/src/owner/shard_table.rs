//! One VM's replicas of all shards of its data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use super::admit::{AdmitDecision, AdmitRequest};
use super::rebalance::BalanceReport;
use super::recent_use::RecentUse;
use super::settle::{RedirectRequest, SettleDecision, SettleRequest};
use super::shard_replica::{ChangeNumber, ShardReplica};
use crate::budgets::escrow_account::EscrowAccount;
use crate::budgets::ledger::{Ledger, LedgerChange};
use crate::budgets::shard::{SHARD_COUNT, ShardId, ShardLocation, shard_of};
use crate::ids::{AttemptNumber, BudgetId, DataCentreId, Incarnation, RouteId, Timestamp, VmId};
use crate::invariants::Invariants;
use crate::requests::key_entry::KeyEntry;

/// A change that must be committed before its result is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardChange {
    /// The shard.
    pub shard: ShardId,
    /// The number of the change.
    pub number: ChangeNumber,
}

/// One VM's replicas of all shards of its data centre, and the recent use of its budgets.
#[derive(Debug)]
pub struct ShardTable {
    data_centre_id: DataCentreId,
    replicas: BTreeMap<ShardId, ShardReplica>,
    recent_use: RecentUse,
}

impl ShardTable {
    /// Creates the replicas of a new process, without state or role.
    pub fn new(data_centre_id: DataCentreId, vm_id: VmId, incarnation: Incarnation) -> Self {
        let replicas = (0..SHARD_COUNT)
            .map(|shard| {
                let location = ShardLocation { data_centre_id: data_centre_id.clone(), shard };
                (shard, ShardReplica::new(location, vm_id.clone(), incarnation))
            })
            .collect();
        Self { data_centre_id, replicas, recent_use: RecentUse::default() }
    }

    /// Returns a shard's replica.
    pub fn replica(&self, shard: ShardId) -> Option<&ShardReplica> {
        self.replicas.get(&shard)
    }

    /// Returns a mutable reference to a shard's replica.
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

    /// Applies a change of the ledger to the replica that it concerns.
    pub fn apply_ledger_change(&mut self, ledger: &Ledger, change: &LedgerChange) {
        match change {
            LedgerChange::ToppedUp(_) => {}
            LedgerChange::ViewActivated(view) => {
                if view.location.data_centre_id != self.data_centre_id {
                    return;
                }
                if let Some(replica) = self.replicas.get_mut(&view.location.shard) {
                    replica.enter_view(view);
                    replica.credit_all_draws(ledger);
                }
            }
            LedgerChange::Drawn { location, drawn_tokens, .. } => {
                if location.data_centre_id != self.data_centre_id {
                    return;
                }
                if let Some(replica) = self.replicas.get_mut(&location.shard) {
                    for budget_id in drawn_tokens.keys() {
                        replica.credit_draws(ledger, budget_id);
                    }
                }
            }
        }
    }

    /// Reserves a request's worst-case cost; `None` when this VM is not the budget's primary.
    pub fn admit(
        &mut self,
        request: AdmitRequest,
        now: Timestamp,
    ) -> Option<(AdmitDecision, ShardChange)> {
        let shard = shard_of(&request.budget_id);
        self.change(shard, |owner| owner.admit(request, now))
    }

    /// Settles an attempt; `None` when this VM is not the budget's primary.
    pub fn settle(
        &mut self,
        budget_id: &str,
        request: SettleRequest,
        now: Timestamp,
        invariants: &Invariants,
    ) -> Option<(SettleDecision, ShardChange)> {
        self.change(shard_of(budget_id), |owner| owner.settle(request, now, invariants))
    }

    /// Moves a request to its next attempt; `None` when this VM is not the budget's primary.
    pub fn redirect(
        &mut self,
        budget_id: &str,
        request: RedirectRequest,
        now: Timestamp,
    ) -> Option<(Option<AttemptNumber>, ShardChange)> {
        self.change(shard_of(budget_id), |owner| owner.redirect(request, now))
    }

    /// Returns whether this VM is the primary of a budget in the newest view that it has seen.
    pub fn is_primary_for(&self, budget_id: &str) -> bool {
        self.replicas.get(&shard_of(budget_id)).is_some_and(ShardReplica::is_primary)
    }

    /// Returns the account of a budget; an empty one if this VM is not its primary.
    pub fn account(&self, budget_id: &str) -> EscrowAccount {
        let replica = self.replicas.get(&shard_of(budget_id)).filter(|r| r.is_primary());
        replica.map(|replica| replica.owner().account(budget_id)).unwrap_or_default()
    }

    /// Updates the recent use, and returns the budgets in use whose primary is this VM.
    pub fn observe_use(&mut self) -> Vec<BudgetId> {
        let primaries = self.replicas.values().filter(|replica| replica.is_primary());
        self.recent_use.observe(primaries.flat_map(|replica| replica.owner().accounts()));
        let budget_ids = self.recent_use.budgets();
        budget_ids.filter(|budget_id| self.is_primary_for(budget_id)).cloned().collect()
    }

    /// Returns the budgets in use as of the last [`Self::observe_use`].
    pub fn budgets_in_use(&self) -> Vec<BudgetId> {
        self.recent_use.budgets().cloned().collect()
    }

    /// Returns what this VM holds of a budget as its primary, and the budget's recent use.
    pub fn balance(&self, budget_id: &str) -> BalanceReport {
        BalanceReport {
            held_tokens: self.account(budget_id).held_tokens,
            recent_use_tokens: self.recent_use.of(budget_id),
        }
    }

    /// Returns the accounts of the budgets whose primary is this VM.
    pub fn accounts(&self) -> BTreeMap<BudgetId, EscrowAccount> {
        let primaries = self.replicas.values().filter(|replica| replica.is_primary());
        let accounts = primaries.flat_map(|replica| replica.owner().accounts());
        accounts.map(|(budget_id, account)| (budget_id.clone(), *account)).collect()
    }

    /// Returns the entry of a key, if this VM is the primary of its budget.
    pub fn entry(&self, key: &str) -> Option<&KeyEntry> {
        let mut primaries = self.replicas.values().filter(|replica| replica.is_primary());
        primaries.find_map(|replica| replica.owner().entry(key))
    }

    /// Returns whether an unknown key of a budget may have had an entry that was lost.
    pub fn may_have_lost_keys(&self, budget_id: &str, now: Timestamp) -> bool {
        let replica = self.replicas.get(&shard_of(budget_id));
        let lost_until = replica.and_then(|replica| replica.owner().keys().lost_until());
        lost_until.is_some_and(|lost_until| now < lost_until)
    }

    /// Returns the number of key entries of the shards whose primary is this VM.
    pub fn key_count(&self) -> usize {
        let primaries = self.replicas.values().filter(|replica| replica.is_primary());
        primaries.map(|replica| replica.owner().keys().len()).sum()
    }

    fn change<T>(
        &mut self,
        shard: ShardId,
        apply: impl FnOnce(&mut super::budget_owner::BudgetOwner) -> T,
    ) -> Option<(T, ShardChange)> {
        let (result, number) = self.replicas.get_mut(&shard)?.change(apply)?;
        Some((result, ShardChange { shard, number }))
    }
}
