//! Client accounts with their caller keys, limits and budgets.

use serde::{Deserialize, Serialize};

use sassafrashoist_core::ids::{BudgetId, ClientAccountId, RouteId};

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Its id.
    pub id: ClientAccountId,
    /// The SHA-256 of each caller key, in hexadecimal; the keys themselves are never stored.
    pub caller_key_sha256: Vec<String>,
    /// The routes it may use and the budget that pays for each.
    pub grants: Vec<RouteGrant>,
    /// Its limits apart from budgets.
    #[serde(default)]
    pub limits: AccountLimits,
}

/// Permission for an account to use a route, paid from a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteGrant {
    /// The route.
    pub route_id: RouteId,
    /// The budget that pays.
    pub budget_id: BudgetId,
}

/// Limits on the load of an account on one VM, whatever its budgets hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AccountLimits {
    /// The maximum number of requests in progress.
    pub max_requests_in_flight: u32,
    /// The maximum number of tokens reserved by requests in progress.
    pub max_tokens_in_flight: u64,
    /// The maximum number of requests started per second.
    pub max_requests_per_second: u32,
}

impl Default for AccountLimits {
    fn default() -> Self {
        Self {
            max_requests_in_flight: 1_000,
            max_tokens_in_flight: 10_000_000,
            max_requests_per_second: 1_000,
        }
    }
}

/// A prepaid budget; its tokens come from top-ups in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Its id.
    pub id: BudgetId,
    /// The client account that paid for it.
    pub account_id: ClientAccountId,
}
