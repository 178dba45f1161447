//! A caller's request after its headers and body were checked.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use sassafrashoist_bundle::account::ClientAccount;
use sassafrashoist_bundle::route::{Route, RouteKind};
use sassafrashoist_core::ids::{BudgetId, DataCentreId, RequestKey, Tokens};
use sassafrashoist_core::requests::key_entry::KeyBinding;

/// A caller's request after its headers and body were checked.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The key of the request, unique over all accounts.
    pub key: RequestKey,
    /// Whether the caller gave the key, so that it may send the request again.
    pub is_keyed: bool,
    /// The data centre whose owner keeps the key.
    pub owner_data_centre_id: DataCentreId,
    /// What the key is bound to.
    pub binding: KeyBinding,
    /// The client account.
    pub account: Arc<ClientAccount>,
    /// The route.
    pub route: Arc<Route>,
    /// The budget that pays.
    pub budget_id: BudgetId,
    /// The most tokens of the answer.
    pub max_output_tokens: Tokens,
    /// The most that the request can cost.
    pub worst_case_tokens: Tokens,
    /// Its priority, 0 (first) to 9.
    pub priority: u8,
    /// The longest that it may take.
    pub timeout: Duration,
    /// The body, passed through.
    pub body: Bytes,
}

impl CallerRequest {
    /// Returns the price of a plain service's call.
    pub fn fixed_price_tokens(&self) -> Option<Tokens> {
        match self.route.kind {
            RouteKind::Service { price_tokens, .. } => Some(price_tokens),
            RouteKind::Model { .. } => None,
        }
    }
}
