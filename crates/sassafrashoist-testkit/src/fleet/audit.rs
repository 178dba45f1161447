//! Checks the invariants over a whole fleet from the counters of its VMs and stand-ins.

use std::collections::BTreeMap;

use super::running_fleet::RunningFleet;
use sassafrashoist_core::ids::{BudgetId, Tokens};
use sassafrashoist_core::invariants::Invariant;

/// The sums over all owners of a budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetSums {
    /// Tokens used by settled requests.
    pub settled_tokens: Tokens,
    /// Tokens reserved by requests in progress.
    pub reserved_tokens: Tokens,
    /// Tokens that no request has reserved, those that are not drawn yet included.
    pub held_tokens: Tokens,
}

/// The violation counters of a fleet, from every running VM and from the stand-ins.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// The violations by the name of the invariant.
    pub violations: BTreeMap<&'static str, u64>,
}

impl Audit {
    /// Sums the counters of every running VM, and adds the repeated runs that the plain services
    /// counted and the tokens overspent over the fleet.
    pub fn collect(fleet: &RunningFleet) -> Self {
        let mut audit = Self::default();
        for invariant in Invariant::ALL {
            audit.add(invariant, 0);
        }
        for context in fleet.vms.iter().filter_map(|vm| vm.context().ok()) {
            for invariant in Invariant::ALL {
                audit.add(invariant, context.invariants.count(invariant));
            }
        }
        audit.add(Invariant::DoubleRuns, count_double_runs(fleet));
        audit.add(Invariant::OverspendTokens, count_overspend(fleet));
        audit
    }

    /// Adds to the counter of an invariant.
    pub fn add(&mut self, invariant: Invariant, amount: u64) {
        *self.violations.entry(invariant.name()).or_default() += amount;
    }

    /// Returns whether every counter is 0.
    pub fn is_clean(&self) -> bool {
        self.violations.values().all(|count| *count == 0)
    }
}

/// Sums what the running owners report of each budget.
pub fn sum_budgets(fleet: &RunningFleet) -> BTreeMap<BudgetId, BudgetSums> {
    let mut sums = sum_ledger_shares(fleet);
    for context in fleet.vms.iter().filter_map(|vm| vm.context().ok()) {
        for (budget_id, account) in context.tables.lock_owner().accounts() {
            let sum = sums.entry(budget_id.clone()).or_default();
            sum.settled_tokens += account.settled_tokens;
            sum.reserved_tokens += account.reserved_tokens;
            sum.held_tokens += account.held_tokens;
            sum.held_tokens = sum.held_tokens.saturating_sub(account.drawn_tokens);
        }
    }
    sums
}

/// Sums the tokens that the ledger has granted to the data centres, less lost draws, as of the VM
/// that has read the ledger furthest.
fn sum_ledger_shares(fleet: &RunningFleet) -> BTreeMap<BudgetId, BudgetSums> {
    let contexts = fleet.vms.iter().filter_map(|vm| vm.context().ok());
    let ledgers = contexts.map(|context| context.tables.lock_ledger().ledger.clone());
    let Some(ledger) = ledgers.max_by_key(|ledger| ledger.next_offset) else {
        return BTreeMap::new();
    };
    let sums = ledger.budgets.into_iter().map(|(budget_id, budget)| {
        let shares = budget.shares.values();
        let held_tokens = shares.map(|share| share.granted_tokens - share.lost_drawn_tokens).sum();
        (budget_id, BudgetSums { held_tokens, ..BudgetSums::default() })
    });
    sums.collect()
}

/// Counts the executions of each request after its first, over all plain services.
fn count_double_runs(fleet: &RunningFleet) -> u64 {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for service in &fleet.services {
        for (key, count) in service.stand_in.execution_counts() {
            *counts.entry(key).or_default() += u64::from(count);
        }
    }
    counts.values().map(|count| count.saturating_sub(1)).sum()
}

/// Counts tokens that the owners hold or have used beyond what the ledger says was paid.
fn count_overspend(fleet: &RunningFleet) -> u64 {
    let Some(context) = fleet.vms.iter().find_map(|vm| vm.context().ok()) else {
        return 0;
    };
    let ledger = context.tables.lock_ledger().ledger.clone();
    let sums = sum_budgets(fleet);
    let mut excess = 0;
    for (budget_id, sum) in sums {
        let paid = ledger.budgets.get(&budget_id).map_or(0, |budget| budget.paid_tokens);
        excess += (sum.settled_tokens + sum.reserved_tokens).saturating_sub(paid);
    }
    excess
}
