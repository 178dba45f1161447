//! The configuration of the fleet, as one document.

use std::time::Duration;

use super::route::Route;
use super::{ApiKey, ConfigVersion};
use crate::ids::{ClientAccountId, PoolId, Tokens};

/// A pool of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Its name.
    pub id: PoolId,
    /// What is known of its engines; none for a plain service.
    pub engine: Option<EngineShape>,
}

/// What all engines of a pool have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineShape {
    /// Output tokens that one event of a stream holds at most.
    pub tokens_per_event: Tokens,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head of a request.
    pub head_bytes: usize,
    /// The longest body of a request.
    pub body_bytes: usize,
    /// How long the head of a request may take.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientAccount {
    /// Its name.
    pub id: ClientAccountId,
    /// Its keys.
    pub keys: Vec<ApiKey>,
    /// Its rank, which goes before that of the route.
    pub priority: Option<u8>,
    /// The tokens that it paid for; none if it has no budget.
    pub paid_tokens: Option<Tokens>,
}

/// The configuration of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Route>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The client accounts; `None` if requests need no key.
    pub accounts: Option<Vec<ClientAccount>>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// Returns the tokens that an account paid for.
    pub fn paid_tokens(&self, account_id: &str) -> Option<Tokens> {
        let accounts = self.accounts.as_deref().unwrap_or_default();
        accounts.iter().find(|account| account.id == account_id)?.paid_tokens
    }

    /// Returns a pool.
    pub fn pool(&self, pool_id: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.id == pool_id)
    }
}
