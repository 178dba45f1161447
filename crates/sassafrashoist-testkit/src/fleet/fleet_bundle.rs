//! The first bundle of a fleet, built from its plan.

use std::net::SocketAddr;

use sassafrashoist_bundle::account::{AccountLimits, Budget, ClientAccount, RouteGrant};
use sassafrashoist_bundle::backend_server::{BackendServer, BackendServerKind};
use sassafrashoist_bundle::bundle::{Bundle, DataCentre};
use sassafrashoist_bundle::route::RouteKind;
use sassafrashoist_bundle::sample::{build_sample_bundle, hash_caller_key};

use super::fleet_plan::{AccountPlan, FleetPlan};
use super::operators::operators;

/// The path of the route to the engines.
pub const APPRAISAL_PATH: &str = "/v1/chat/completions";
/// The path of the route to the plain services.
pub const BID_PATH: &str = "/auction/bids";

/// The addresses of the backend servers of one data centre.
#[derive(Debug, Clone, Default)]
pub struct BackendAddresses {
    /// The engines.
    pub engines: Vec<SocketAddr>,
    /// The plain services.
    pub services: Vec<SocketAddr>,
}

/// Builds the first bundle of a fleet.
pub fn build_fleet_bundle(plan: &FleetPlan, addresses: &[BackendAddresses]) -> Bundle {
    let mut bundle = build_sample_bundle(operators());
    bundle.data_centres = plan
        .data_centres
        .iter()
        .map(|data_centre| DataCentre {
            id: data_centre.id.clone(),
            region_id: data_centre.region_id.clone(),
        })
        .collect();
    bundle.client_accounts = plan.accounts.iter().map(build_account).collect();
    bundle.budgets = plan
        .accounts
        .iter()
        .map(|account| Budget { id: account.budget_id(), account_id: account.id.clone() })
        .collect();
    bundle.backend_servers = build_servers(plan, addresses);
    for route in &mut bundle.routes {
        if let RouteKind::Service { price_tokens, .. } = &mut route.kind {
            *price_tokens = plan.bid_price_tokens;
        }
    }
    bundle
}

fn build_account(plan: &AccountPlan) -> ClientAccount {
    let grant =
        |route_id: &str| RouteGrant { route_id: route_id.to_owned(), budget_id: plan.budget_id() };
    ClientAccount {
        id: plan.id.clone(),
        caller_key_sha256: vec![hash_caller_key(&plan.caller_key())],
        grants: vec![grant("appraisal"), grant("bid")],
        limits: AccountLimits::default(),
    }
}

fn build_servers(plan: &FleetPlan, addresses: &[BackendAddresses]) -> Vec<BackendServer> {
    let mut servers = Vec::new();
    for (data_centre, addresses) in plan.data_centres.iter().zip(addresses) {
        for (index, engine) in data_centre.engines.iter().enumerate() {
            servers.push(BackendServer {
                id: format!("{}-engine-{}", data_centre.id, index + 1),
                data_centre_id: data_centre.id.clone(),
                pool_id: "engines".to_owned(),
                address: addresses.engines[index],
                kind: BackendServerKind::Engine {
                    model_ids: engine.model_ids.clone(),
                    slot_count: engine.slot_count as u32,
                    checks_fencing: engine.checks_fencing,
                },
                is_leaving: false,
            });
        }
        for (index, address) in addresses.services.iter().enumerate() {
            servers.push(BackendServer {
                id: format!("{}-auction-{}", data_centre.id, index + 1),
                data_centre_id: data_centre.id.clone(),
                pool_id: "auction-desk".to_owned(),
                address: *address,
                kind: BackendServerKind::Service { slot_count: 16 },
                is_leaving: false,
            });
        }
    }
    servers
}
