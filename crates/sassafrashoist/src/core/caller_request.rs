//! A caller's request whose headers and body have been validated.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use sassafrashoist_bundle::account::ClientAccount;
use sassafrashoist_bundle::route::{Route, RouteKind};
use sassafrashoist_core::ids::{BudgetId, DataCentreId, RequestKey, Tokens};
use sassafrashoist_core::requests::backoff::hop_timeout;
use sassafrashoist_core::requests::key_entry::KeyBinding;
use sassafrashoist_core::requests::quarantine::RequestFingerprint;
use sassafrashoist_core::requests::recovery::RetryRules;

/// A caller's request whose headers and body have been validated.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The key of the request, unique over all accounts.
    pub key: RequestKey,
    /// Whether the caller supplied the key and may therefore retry the request with it.
    pub is_keyed: bool,
    /// The data centre of the VM that owns the key.
    pub owner_data_centre_id: DataCentreId,
    /// The account, route and body that the key is bound to.
    pub binding: KeyBinding,
    /// The client account.
    pub account: Arc<ClientAccount>,
    /// The route.
    pub route: Arc<Route>,
    /// The budget that pays for the request.
    pub budget_id: BudgetId,
    /// The maximum number of tokens in the response.
    pub max_output_tokens: Tokens,
    /// The maximum cost of the request.
    pub worst_case_tokens: Tokens,
    /// The priority, from 0 (most urgent) to 9.
    pub priority: u8,
    /// The time at which the caller stops waiting.
    pub deadline: Instant,
    /// Whether the caller requested a streaming response.
    pub is_stream: bool,
    /// The body, forwarded unchanged.
    pub body: Bytes,
}

impl CallerRequest {
    /// Returns the fixed price of a call, or `None` for a model route, which is billed by use.
    pub fn fixed_price_tokens(&self) -> Option<Tokens> {
        match self.route.kind {
            RouteKind::Service { price_tokens, .. } => Some(price_tokens),
            RouteKind::Model { .. } => None,
        }
    }

    /// Returns the fingerprint that all copies of this request share, whatever their keys.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let account_id = self.account.id.clone();
        RequestFingerprint { account_id, body_hash: self.binding.body_hash }
    }

    /// Returns whether a model engine executes the request.
    pub fn is_model(&self) -> bool {
        matches!(self.route.kind, RouteKind::Model { .. })
    }

    /// Returns the properties of the route that decide whether the request may be executed again.
    pub fn retry_rules(&self) -> RetryRules {
        let service_deduplicates =
            matches!(self.route.kind, RouteKind::Service { service_deduplicates: true, .. });
        RetryRules { is_idempotent: self.route.is_idempotent, service_deduplicates }
    }

    /// Returns the time left until the caller's deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the timeout for the next hop, or `None` when too little time is left.
    pub fn hop_timeout(&self) -> Option<Duration> {
        hop_timeout(self.time_left())
    }

    /// Returns an upper bound on the tokens that an attempt has used when `forwarded_parts` parts
    /// of its stream were forwarded: the whole prompt and one token for each part.
    pub fn max_used_tokens(&self, forwarded_parts: u64) -> Tokens {
        let prompt_bound =
            self.worst_case_tokens - self.max_output_tokens.min(self.worst_case_tokens);
        (prompt_bound + forwarded_parts).min(self.worst_case_tokens)
    }
}
