//! Limits the number of retries per client account and route with two token buckets: earned retries
//! and a reserve.
//!
//! Every first attempt earns a little less than a tenth of a retry, and only a few unused retries
//! accumulate. A retry because backend servers are too busy is paid only from earned retries, so
//! that under overload retries never exceed a tenth of the first attempts, even after an idle
//! period. A retry after a failure may also be paid from a small reserve, which each success
//! refills by as much as a first attempt earns. So an account with little traffic can still retry
//! after a server crash.

use std::collections::BTreeMap;

use crate::ids::{ClientAccountId, RouteId};

/// What one first attempt earns, in thousandths of a retry.
const EARNED_PER_FIRST_ATTEMPT_PER_MILLE: u64 = 90;
/// What one retry costs, in thousandths of a retry.
const COST_OF_RETRY_PER_MILLE: u64 = 1_000;
/// The maximum of earned and unused retries, in thousandths of a retry.
const MAX_EARNED_PER_MILLE: u64 = 5_000;
/// The size of the reserve for retries after failures, in thousandths of a retry.
const FULL_RESERVE_PER_MILLE: u64 = 10_000;
/// The maximum number of pairs of account and route with a budget.
const MAX_BUDGETS: usize = 4_096;

/// Why an attempt is to be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryCause {
    /// The backend server was too busy to start it.
    Busy,
    /// The backend server could not be reached, or its response was lost.
    Failure,
}

#[derive(Debug, Clone, Copy)]
struct RetryBudget {
    earned_per_mille: u64,
    reserve_per_mille: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { earned_per_mille: 0, reserve_per_mille: FULL_RESERVE_PER_MILLE }
    }
}

/// The retry budgets of one VM, by account and route.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: BTreeMap<(ClientAccountId, RouteId), RetryBudget>,
}

impl RetryBudgets {
    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, account_id: &str, route_id: &str) {
        let budget = self.budget(account_id, route_id);
        let earned = budget.earned_per_mille + EARNED_PER_FIRST_ATTEMPT_PER_MILLE;
        budget.earned_per_mille = earned.min(MAX_EARNED_PER_MILLE);
    }

    /// Counts a request that succeeded, which refills the reserve.
    pub fn record_success(&mut self, account_id: &str, route_id: &str) {
        let budget = self.budget(account_id, route_id);
        let reserve = budget.reserve_per_mille + EARNED_PER_FIRST_ATTEMPT_PER_MILLE;
        budget.reserve_per_mille = reserve.min(FULL_RESERVE_PER_MILLE);
    }

    /// Spends one retry; false when none is left.
    #[must_use]
    pub fn try_retry(&mut self, account_id: &str, route_id: &str, cause: RetryCause) -> bool {
        let budget = self.budget(account_id, route_id);
        if budget.earned_per_mille >= COST_OF_RETRY_PER_MILLE {
            budget.earned_per_mille -= COST_OF_RETRY_PER_MILLE;
            return true;
        }
        if cause == RetryCause::Failure && budget.reserve_per_mille >= COST_OF_RETRY_PER_MILLE {
            budget.reserve_per_mille -= COST_OF_RETRY_PER_MILLE;
            return true;
        }
        false
    }

    fn budget(&mut self, account_id: &str, route_id: &str) -> &mut RetryBudget {
        let id = (account_id.to_owned(), route_id.to_owned());
        if self.budgets.len() >= MAX_BUDGETS && !self.budgets.contains_key(&id) {
            self.budgets.pop_first();
        }
        self.budgets.entry(id).or_default()
    }
}
