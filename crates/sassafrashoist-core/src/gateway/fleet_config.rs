//! The fleet configuration: routes, pools, client accounts and limits on callers, in one document.

use std::time::Duration;

use super::route::Route;
use super::warm_up::PoolWarmUp;
use super::{ApiKey, ConfigVersion};
use crate::ids::{ClientAccountId, PoolId, Tokens};

/// A pool of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// The name of the pool.
    pub id: PoolId,
    /// The properties of the pool's engines; `None` if the pool runs a plain service.
    pub engine: Option<EngineProperties>,
    /// How its servers warm up; `None` if they are never cold.
    pub warm_up: Option<PoolWarmUp>,
    /// Whether the warm-up of its servers cannot be read, which then counts as none.
    pub is_warm_up_malformed: bool,
}

/// The properties that all engines of a pool share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineProperties {
    /// The maximum number of output tokens in one event of a stream.
    pub tokens_per_event: Tokens,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request's header section.
    pub max_header_bytes: usize,
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// How long receiving a request's header section may take.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientAccount {
    /// The name of the account.
    pub id: ClientAccountId,
    /// The API keys that identify the account.
    pub api_keys: Vec<ApiKey>,
    /// The priority of its requests; overrides that of the route.
    pub priority: Option<u8>,
    /// The total tokens that the account has paid for; `None` if it has no budget.
    pub paid_tokens: Option<Tokens>,
}

/// The configuration of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// The version of this configuration.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Route>,
    /// The pools of backend servers.
    pub pools: Vec<Pool>,
    /// The client accounts; `None` if requests need no key.
    pub accounts: Option<Vec<ClientAccount>>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// Returns the total tokens that an account has paid for.
    pub fn paid_tokens(&self, account_id: &str) -> Option<Tokens> {
        let accounts = self.accounts.as_deref().unwrap_or_default();
        accounts.iter().find(|account| account.id == account_id)?.paid_tokens
    }

    /// Returns the pool with the given id.
    pub fn pool(&self, pool_id: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.id == pool_id)
    }
}
