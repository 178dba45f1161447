//! The bundle and its smaller types.

use serde::{Deserialize, Serialize};

use crate::account::{Budget, ClientAccount};
use crate::backend_server::BackendServer;
use crate::route::Route;
use sassafrashoist_core::ids::{BundleVersion, DataCentreId, OperatorId, PoolId, RegionId};

/// The bundle format that this code reads and writes.
pub const BUNDLE_FORMAT_VERSION: u32 = 1;

/// The whole configuration of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version of the JSON format.
    pub format_version: u32,
    /// The version of this configuration, from 1.
    pub version: BundleVersion,
    /// The version that this one replaces; 0 for the first.
    pub based_on_version: BundleVersion,
    /// The data centres of the fleet.
    pub data_centres: Vec<DataCentre>,
    /// The operators who may author or approve the next bundle.
    pub operators: Vec<Operator>,
    /// The client accounts.
    pub client_accounts: Vec<ClientAccount>,
    /// The prepaid budgets.
    pub budgets: Vec<Budget>,
    /// The pools of backend servers.
    pub pools: Vec<Pool>,
    /// The backend servers.
    pub backend_servers: Vec<BackendServer>,
    /// The routes that callers may use.
    pub routes: Vec<Route>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its id.
    pub id: DataCentreId,
    /// Its region.
    pub region_id: RegionId,
}

/// An operator and the public key that verifies its signatures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Its id.
    pub id: OperatorId,
    /// The ed25519 public key, in base64.
    pub public_key_base64: String,
}

/// A pool of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its id.
    pub id: PoolId,
}

impl Bundle {
    /// Returns the budget that pays for a route of an account.
    pub fn account(&self, account_id: &str) -> Option<&ClientAccount> {
        self.client_accounts.iter().find(|account| account.id == account_id)
    }
}
