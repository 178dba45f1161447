//! Checks the promises over a whole fleet from what its stand-ins saw.

use std::collections::BTreeMap;

use super::running_fleet::RunningFleet;
use sassafrashoist_core::ids::{BudgetId, Tokens};
use sassafrashoist_core::invariants::Invariant;

/// What the owners of a budget say together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetSums {
    /// Tokens used by settled requests.
    pub settled_tokens: Tokens,
    /// Tokens reserved by requests in progress.
    pub reserved_tokens: Tokens,
    /// Tokens that no request has claimed.
    pub held_tokens: Tokens,
}

/// The promise counters of a fleet: those of every running VM, and what the stand-ins saw.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// The counters by name.
    pub promises: BTreeMap<&'static str, u64>,
}

impl Audit {
    /// Adds up the counters of every running VM and the runs that the plain services saw.
    pub fn take(fleet: &RunningFleet) -> Self {
        let mut audit = Self::default();
        for promise in Invariant::ALL {
            audit.add(promise, 0);
        }
        for context in fleet.vms.iter().filter_map(|vm| vm.context().ok()) {
            for promise in Invariant::ALL {
                audit.add(promise, context.invariants.count(promise));
            }
        }
        audit.add(Invariant::DoubleRuns, count_double_runs(fleet));
        audit.add(Invariant::OverspendTokens, count_overspend(fleet));
        audit
    }

    /// Adds to a counter.
    pub fn add(&mut self, promise: Invariant, amount: u64) {
        *self.promises.entry(promise.name()).or_default() += amount;
    }

    /// Returns whether every counter is 0.
    pub fn is_clean(&self) -> bool {
        self.promises.values().all(|count| *count == 0)
    }
}

/// Adds up what the running owners say of each budget.
pub fn sum_budgets(fleet: &RunningFleet) -> BTreeMap<BudgetId, BudgetSums> {
    let mut sums = sum_uncounted(fleet);
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

/// Adds up what the ledger gave to data centres and did not lose, for the newest reader.
fn sum_uncounted(fleet: &RunningFleet) -> BTreeMap<BudgetId, BudgetSums> {
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

/// Counts runs beyond the first of each request, over all plain services.
fn count_double_runs(fleet: &RunningFleet) -> u64 {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in &fleet.services {
        for (key, count) in service.stand_in.runs_by_key() {
            *runs.entry(key).or_default() += u64::from(count);
        }
    }
    runs.values().map(|count| count.saturating_sub(1)).sum()
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
