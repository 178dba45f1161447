//! The active bundle with indexes for request handling.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use sassafrashoist_bundle::account::ClientAccount;
use sassafrashoist_bundle::route::Route;
use sassafrashoist_bundle::sample::hash_caller_key;
use sassafrashoist_bundle::signed_bundle::SignedBundle;
use sassafrashoist_core::ids::{BudgetId, BundleVersion, DataCentreId, RouteId};

/// The active bundle with indexes for request handling.
#[derive(Debug)]
pub struct ActiveBundle {
    /// The accepted bundle with its signatures.
    pub signed: SignedBundle,
    accounts_by_key: HashMap<String, Arc<ClientAccount>>,
    routes_by_path: HashMap<String, Arc<Route>>,
}

impl ActiveBundle {
    /// Indexes an accepted bundle.
    pub fn new(signed: SignedBundle) -> Self {
        let mut accounts_by_key = HashMap::new();
        for account in &signed.bundle.client_accounts {
            let account = Arc::new(account.clone());
            for digest in &account.caller_key_sha256 {
                accounts_by_key.insert(digest.clone(), Arc::clone(&account));
            }
        }
        let routes_by_path = signed
            .bundle
            .routes
            .iter()
            .map(|route| (route.path.clone(), Arc::new(route.clone())))
            .collect();
        Self { signed, accounts_by_key, routes_by_path }
    }

    /// Returns the active version.
    pub fn version(&self) -> BundleVersion {
        self.signed.bundle.version
    }

    /// Returns the client account that a caller's API key belongs to.
    pub fn authenticate(&self, caller_key: &str) -> Option<Arc<ClientAccount>> {
        self.accounts_by_key.get(&hash_caller_key(caller_key)).cloned()
    }

    /// Returns the route with exactly this path.
    pub fn route(&self, path: &str) -> Option<Arc<Route>> {
        self.routes_by_path.get(path).cloned()
    }

    /// Returns the budget that pays for an account's requests to a route.
    pub fn budget_for(&self, account: &ClientAccount, route: &Route) -> Option<BudgetId> {
        let grant = account.grants.iter().find(|grant| grant.route_id == route.id)?;
        Some(grant.budget_id.clone())
    }

    /// Returns how long the idempotency keys of each route are kept after their requests end.
    pub fn retry_windows(&self) -> BTreeMap<RouteId, Duration> {
        let routes = self.signed.bundle.routes.iter();
        routes.map(|route| (route.id.clone(), route.retry_window)).collect()
    }

    /// Returns the data centres of the fleet.
    pub fn data_centre_ids(&self) -> impl Iterator<Item = &DataCentreId> {
        self.signed.bundle.data_centres.iter().map(|data_centre| &data_centre.id)
    }
}
