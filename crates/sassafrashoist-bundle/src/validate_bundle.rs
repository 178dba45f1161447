//! Validation of a bundle's content, which reports every error.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::backend_server::BackendServerKind;
use crate::bundle::{BUNDLE_FORMAT_VERSION, Bundle};
use crate::operator_keys::decode_public_key;
use crate::problem::Problem;
use crate::route::RouteKind;
use sassafrashoist_core::ids::Tokens;

/// The longest id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// The largest token limit or price that a route may set for one request.
const MAX_REQUEST_TOKENS: Tokens = 10_000_000;
/// The largest slot count that a backend server may have.
const MAX_SLOT_COUNT: u32 = 100_000;
/// The longest timeout that a route may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);
/// The longest retry window that a route may set.
const MAX_RETRY_WINDOW: Duration = Duration::from_secs(86_400);
/// The largest priority number, which is the least urgent.
const LOWEST_PRIORITY: u8 = 9;
/// Path prefixes that the router serves itself.
const RESERVED_PATH_PREFIXES: [&str; 2] = ["/v1/keys", "/v1/requests"];

/// Returns every error of a bundle; empty for a valid one.
pub fn validate_bundle(bundle: &Bundle) -> Vec<Problem> {
    let mut validator = BundleValidator { problems: Vec::new() };
    validator.check_versions(bundle);
    let data_centres =
        validator.check_ids("data_centres", bundle.data_centres.iter().map(|d| &d.id));
    let accounts =
        validator.check_ids("client_accounts", bundle.client_accounts.iter().map(|a| &a.id));
    let pools = validator.check_ids("pools", bundle.pools.iter().map(|p| &p.id));
    let routes = validator.check_ids("routes", bundle.routes.iter().map(|r| &r.id));
    validator.check_ids("budgets", bundle.budgets.iter().map(|b| &b.id));
    validator.check_ids("backend_servers", bundle.backend_servers.iter().map(|s| &s.id));
    validator.check_ids("operators", bundle.operators.iter().map(|o| &o.id));
    validator.check_operators(bundle);
    validator.check_budgets(bundle, &accounts);
    validator.check_accounts(bundle, &routes);
    validator.check_servers(bundle, &data_centres, &pools);
    validator.check_routes(bundle, &pools);
    validator.problems
}

struct BundleValidator {
    problems: Vec<Problem>,
}

impl BundleValidator {
    fn report(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.problems.push(Problem::new(path, message));
    }

    fn check_versions(&mut self, bundle: &Bundle) {
        if bundle.format_version != BUNDLE_FORMAT_VERSION {
            self.report("format_version", format!("expected {BUNDLE_FORMAT_VERSION}"));
        }
        if bundle.based_on_version.checked_add(1) != Some(bundle.version) {
            self.report("version", "expected based_on_version + 1");
        }
    }

    fn check_ids<'a>(
        &mut self,
        list: &str,
        ids: impl Iterator<Item = &'a String>,
    ) -> BTreeSet<&'a str> {
        let mut seen = BTreeSet::new();
        for (index, id) in ids.enumerate() {
            let path = format!("{list}[{index}].id");
            if !is_id_well_formed(id) {
                let message =
                    format!("expected 1 to {MAX_ID_BYTES} letters, digits, '-', '_', '.' or '/'");
                self.report(&path, message);
            }
            if !seen.insert(id.as_str()) {
                self.report(&path, format!("id {id:?} stands twice"));
            }
        }
        seen
    }

    fn check_reference(&mut self, path: String, known: &BTreeSet<&str>, id: &str) {
        if !known.contains(id) {
            self.report(path, format!("{id:?} does not exist in this bundle"));
        }
    }

    fn check_operators(&mut self, bundle: &Bundle) {
        if bundle.operators.len() < 2 {
            self.report("operators", "expected two or more, so that one can approve");
        }
        for (index, operator) in bundle.operators.iter().enumerate() {
            if let Err(error) = decode_public_key(&operator.public_key_base64) {
                self.report(format!("operators[{index}].public_key_base64"), error.to_string());
            }
        }
    }

    fn check_budgets(&mut self, bundle: &Bundle, accounts: &BTreeSet<&str>) {
        for (index, budget) in bundle.budgets.iter().enumerate() {
            self.check_reference(
                format!("budgets[{index}].account_id"),
                accounts,
                &budget.account_id,
            );
        }
    }

    fn check_accounts(&mut self, bundle: &Bundle, routes: &BTreeSet<&str>) {
        let owners: BTreeMap<&str, &str> = bundle
            .budgets
            .iter()
            .map(|budget| (budget.id.as_str(), budget.account_id.as_str()))
            .collect();
        let mut key_owners = BTreeMap::new();
        for (index, account) in bundle.client_accounts.iter().enumerate() {
            let path = format!("client_accounts[{index}]");
            for (key_index, digest) in account.caller_key_sha256.iter().enumerate() {
                let key_path = format!("{path}.caller_key_sha256[{key_index}]");
                if !is_sha256_hex(digest) {
                    self.report(&key_path, "expected 64 lower-case hexadecimal digits");
                }
                if let Some(owner) = key_owners.insert(digest, &account.id) {
                    self.report(&key_path, format!("key is already used by account {owner:?}"));
                }
            }
            for (grant_index, grant) in account.grants.iter().enumerate() {
                let grant_path = format!("{path}.grants[{grant_index}]");
                self.check_reference(format!("{grant_path}.route_id"), routes, &grant.route_id);
                if owners.get(grant.budget_id.as_str()) != Some(&account.id.as_str()) {
                    let message =
                        format!("{:?} is no budget of account {:?}", grant.budget_id, account.id);
                    self.report(format!("{grant_path}.budget_id"), message);
                }
            }
            if account.limits.max_requests_in_flight == 0 {
                self.report(format!("{path}.limits.max_requests_in_flight"), "expected 1 or more");
            }
            if account.limits.max_requests_per_second == 0 {
                self.report(format!("{path}.limits.max_requests_per_second"), "expected 1 or more");
            }
        }
    }

    fn check_servers(
        &mut self,
        bundle: &Bundle,
        data_centres: &BTreeSet<&str>,
        pools: &BTreeSet<&str>,
    ) {
        for (index, server) in bundle.backend_servers.iter().enumerate() {
            let path = format!("backend_servers[{index}]");
            self.check_reference(
                format!("{path}.data_centre_id"),
                data_centres,
                &server.data_centre_id,
            );
            self.check_reference(format!("{path}.pool_id"), pools, &server.pool_id);
            if !(1..=MAX_SLOT_COUNT).contains(&server.kind.slot_count()) {
                self.report(
                    format!("{path}.kind.slot_count"),
                    format!("expected 1 to {MAX_SLOT_COUNT}"),
                );
            }
            if server.address.port() == 0 {
                self.report(format!("{path}.address"), "expected a port above 0");
            }
            if let BackendServerKind::Engine { model_ids, .. } = &server.kind
                && model_ids.is_empty()
            {
                self.report(format!("{path}.kind.engine.model_ids"), "expected one model or more");
            }
        }
    }

    fn check_routes(&mut self, bundle: &Bundle, pools: &BTreeSet<&str>) {
        let mut paths = BTreeSet::new();
        for (index, route) in bundle.routes.iter().enumerate() {
            let path = format!("routes[{index}]");
            self.check_reference(format!("{path}.pool_id"), pools, &route.pool_id);
            if !route.path.starts_with('/') {
                self.report(format!("{path}.path"), "expected a path that starts with '/'");
            }
            if RESERVED_PATH_PREFIXES.iter().any(|prefix| route.path.starts_with(prefix)) {
                self.report(format!("{path}.path"), "path is reserved for the router itself");
            }
            if !paths.insert(route.path.as_str()) {
                self.report(format!("{path}.path"), "path is already used by another route");
            }
            if route.timeout.is_zero() || route.timeout > MAX_TIMEOUT {
                self.report(
                    format!("{path}.timeout_ms"),
                    format!("expected 1 to {}", MAX_TIMEOUT.as_millis()),
                );
            }
            if route.retry_window > MAX_RETRY_WINDOW {
                self.report(
                    format!("{path}.retry_window_ms"),
                    format!("expected at most {}", MAX_RETRY_WINDOW.as_millis()),
                );
            }
            if route.default_priority > LOWEST_PRIORITY {
                self.report(
                    format!("{path}.default_priority"),
                    format!("expected 0 to {LOWEST_PRIORITY}"),
                );
            }
            self.check_route_tokens(&path, &route.kind);
        }
    }

    fn check_route_tokens(&mut self, path: &str, kind: &RouteKind) {
        let expected = format!("expected 1 to {MAX_REQUEST_TOKENS}");
        let allowed = 1..=MAX_REQUEST_TOKENS;
        match kind {
            RouteKind::Model { max_prompt_tokens, max_output_tokens, .. } => {
                if !allowed.contains(max_prompt_tokens) {
                    self.report(format!("{path}.kind.model.max_prompt_tokens"), &expected);
                }
                if !allowed.contains(max_output_tokens) {
                    self.report(format!("{path}.kind.model.max_output_tokens"), &expected);
                }
            }
            RouteKind::Service { price_tokens, .. } => {
                if *price_tokens > MAX_REQUEST_TOKENS {
                    self.report(format!("{path}.kind.service.price_tokens"), &expected);
                }
            }
        }
    }
}

fn is_id_well_formed(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len())
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte))
}

fn is_sha256_hex(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}
