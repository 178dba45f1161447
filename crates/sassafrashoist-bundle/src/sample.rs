//! The sample bundle that `sassafrasctl bundle init` writes as a starting point for operators.

use std::net::SocketAddr;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::account::{AccountLimits, Budget, ClientAccount, RouteGrant};
use crate::backend_server::{BackendServer, BackendServerKind};
use crate::bundle::{BUNDLE_FORMAT_VERSION, Bundle, DataCentre, Operator, Pool};
use crate::route::{Route, RouteKind};

/// Returns the SHA-256 of a caller key in hexadecimal, as the bundle stores it.
pub fn hash_caller_key(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Builds a small valid bundle: one data centre, one engine, one plain service, one account whose
/// caller key is `change-me`.
pub fn build_sample_bundle(operators: Vec<Operator>) -> Bundle {
    Bundle {
        format_version: BUNDLE_FORMAT_VERSION,
        version: 1,
        based_on_version: 0,
        data_centres: vec![DataCentre { id: "plateau".into(), region_id: "dakar".into() }],
        operators,
        client_accounts: vec![ClientAccount {
            id: "fippu".into(),
            caller_key_sha256: vec![hash_caller_key("change-me")],
            grants: vec![
                RouteGrant { route_id: "appraisal".into(), budget_id: "fippu-main".into() },
                RouteGrant { route_id: "bid".into(), budget_id: "fippu-main".into() },
            ],
            limits: AccountLimits::default(),
        }],
        budgets: vec![Budget { id: "fippu-main".into(), account_id: "fippu".into() }],
        pools: vec![Pool { id: "engines".into() }, Pool { id: "auction-desk".into() }],
        backend_servers: sample_servers(),
        routes: sample_routes(),
    }
}

fn sample_servers() -> Vec<BackendServer> {
    vec![
        BackendServer {
            id: "engine-1".into(),
            data_centre_id: "plateau".into(),
            pool_id: "engines".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9101)),
            kind: BackendServerKind::Engine {
                model_ids: vec!["appraiser".into()],
                slot_count: 16,
                checks_fencing: true,
            },
            is_leaving: false,
        },
        BackendServer {
            id: "auction-1".into(),
            data_centre_id: "plateau".into(),
            pool_id: "auction-desk".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9201)),
            kind: BackendServerKind::Service { slot_count: 16 },
            is_leaving: false,
        },
    ]
}

fn sample_routes() -> Vec<Route> {
    vec![
        Route {
            id: "appraisal".into(),
            path: "/v1/chat/completions".into(),
            pool_id: "engines".into(),
            kind: RouteKind::Model {
                model_id: "appraiser".into(),
                max_prompt_tokens: 8_000,
                max_output_tokens: 1_000,
            },
            is_idempotent: true,
            timeout: Duration::from_secs(60),
            retry_window: Duration::from_secs(600),
            default_priority: 5,
        },
        Route {
            id: "bid".into(),
            path: "/auction/bids".into(),
            pool_id: "auction-desk".into(),
            kind: RouteKind::Service { price_tokens: 10, service_deduplicates: false },
            is_idempotent: false,
            timeout: Duration::from_secs(10),
            retry_window: Duration::from_secs(600),
            default_priority: 1,
        },
    ]
}
