//! The configuration of a fleet.

use std::time::Duration;

use sassafrashoist_core::budgets::policy::BudgetPolicy;
use sassafrashoist_core::ids::{DataCentreId, RegionId, Tokens};
use sassafrashoist_core::routing::policy::RoutingPolicy;

use crate::engine::engine_settings::EngineSettings;

/// The configuration of one data centre.
#[derive(Debug, Clone)]
pub struct DataCentrePlan {
    /// The id.
    pub id: DataCentreId,
    /// The region.
    pub region_id: RegionId,
    /// The number of VMs.
    pub vm_count: usize,
    /// The engines.
    pub engines: Vec<EngineSettings>,
    /// The number of plain services.
    pub service_count: usize,
}

/// One client account, with its own budget.
#[derive(Debug, Clone)]
pub struct AccountPlan {
    /// The id; the budget id is `ID-budget`, the caller key `ID-key`.
    pub id: String,
    /// The tokens of the first top-up.
    pub paid_tokens: Tokens,
    /// The weight of each data centre in the first top-up, by index; if empty, the split is even.
    pub split_weights: Vec<u64>,
}

/// The configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The data centres.
    pub data_centres: Vec<DataCentrePlan>,
    /// The client accounts.
    pub accounts: Vec<AccountPlan>,
    /// The price of a request to a plain service.
    pub bid_price_tokens: Tokens,
    /// One-way delay of each chunk between routers and backend servers.
    pub backend_delay: Duration,
    /// One-way delay of each chunk between VMs of different data centres.
    pub data_centre_delay: Duration,
    /// The policy that chooses backend servers.
    pub routing_policy: RoutingPolicy,
    /// The policy by which VMs hold budgets.
    pub budget_policy: BudgetPolicy,
    /// The timeout of a graceful shutdown.
    pub drain_timeout: Duration,
}

impl FleetPlan {
    /// Plans data centres that each have the given number of VMs, one engine and one plain service,
    /// and one client account.
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
            drain_timeout: Duration::from_secs(20),
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
