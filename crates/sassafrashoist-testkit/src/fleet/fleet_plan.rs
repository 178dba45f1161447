//! What a fleet is made of.

use std::time::Duration;

use sassafrashoist_core::budgets::policy::BudgetPolicy;
use sassafrashoist_core::ids::{DataCentreId, RegionId, Tokens};
use sassafrashoist_core::routing::policy::RoutingPolicy;

use crate::engine::engine_settings::EngineSettings;

/// One data centre of a fleet.
#[derive(Debug, Clone)]
pub struct DataCentrePlan {
    /// Its id.
    pub id: DataCentreId,
    /// Its region.
    pub region_id: RegionId,
    /// How many VMs it has.
    pub vm_count: usize,
    /// Its engines.
    pub engines: Vec<EngineSettings>,
    /// How many plain services it has.
    pub service_count: usize,
}

/// One client account of a fleet, with a budget of its own.
#[derive(Debug, Clone)]
pub struct AccountPlan {
    /// Its id; the budget is `ID-budget`, the caller key `ID-key`.
    pub id: String,
    /// The tokens paid at the start.
    pub paid_tokens: Tokens,
    /// The weight of each data centre in the first top-up, by index; even if empty.
    pub split_weights: Vec<u64>,
}

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The data centres.
    pub data_centres: Vec<DataCentrePlan>,
    /// The client accounts.
    pub accounts: Vec<AccountPlan>,
    /// The price of a call to the plain service.
    pub bid_price_tokens: Tokens,
    /// Time that each chunk takes one way to a backend server.
    pub backend_delay: Duration,
    /// Time that each chunk takes one way between VMs of different data centres.
    pub data_centre_delay: Duration,
    /// How backend servers are chosen.
    pub routing_policy: RoutingPolicy,
    /// How budgets are held.
    pub budget_policy: BudgetPolicy,
    /// How long a graceful shutdown waits.
    pub drain_bound: Duration,
}

impl FleetPlan {
    /// Plans data centres that each have the same VMs, engines and plain services.
    pub fn new(data_centre_ids: &[&str], vm_count: usize, engine: EngineSettings) -> Self {
        let data_centres = data_centre_ids
            .iter()
            .map(|id| DataCentrePlan {
                id: (*id).to_owned(),
                region_id: "dakar".to_owned(),
                vm_count,
                engines: vec![engine.clone()],
                service_count: 1,
            })
            .collect();
        Self {
            data_centres,
            accounts: vec![AccountPlan {
                id: "fippu".to_owned(),
                paid_tokens: 1_000_000,
                split_weights: Vec::new(),
            }],
            bid_price_tokens: 10,
            backend_delay: Duration::ZERO,
            data_centre_delay: Duration::ZERO,
            routing_policy: RoutingPolicy::default(),
            budget_policy: BudgetPolicy::default(),
            drain_bound: Duration::from_secs(20),
        }
    }
}

impl AccountPlan {
    /// The id of the account's budget.
    pub fn budget_id(&self) -> String {
        format!("{}-budget", self.id)
    }

    /// The key of the account's callers.
    pub fn caller_key(&self) -> String {
        format!("{}-key", self.id)
    }
}
