//! A caller's request after its headers and body were checked.

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
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether the answer is asked for as a stream.
    pub is_stream: bool,
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

    /// Returns what is the same in every copy of it.
    pub fn mark(&self) -> RequestFingerprint {
        let account_id = self.account.id.clone();
        RequestFingerprint { account_id, body_hash: self.binding.body_hash }
    }

    /// Returns whether a model engine runs it.
    pub fn is_model(&self) -> bool {
        matches!(self.route.kind, RouteKind::Model { .. })
    }

    /// Returns whether it may be sent more than once.
    pub fn repeat_rules(&self) -> RetryRules {
        let service_deduplicates =
            matches!(self.route.kind, RouteKind::Service { service_deduplicates: true, .. });
        RetryRules { is_idempotent: self.route.is_idempotent, service_deduplicates }
    }

    /// Returns the time that is left to its caller.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns what the next hop may take, or `None` when too little time is left.
    pub fn hop_timeout(&self) -> Option<Duration> {
        hop_timeout(self.time_left())
    }

    /// Returns the most that an attempt can have used which passed on so many parts.
    pub fn cost_bound(&self, passed_parts: u64) -> Tokens {
        let prompt_bound =
            self.worst_case_tokens - self.max_output_tokens.min(self.worst_case_tokens);
        (prompt_bound + passed_parts).min(self.worst_case_tokens)
    }
}
