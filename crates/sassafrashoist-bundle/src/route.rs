//! Routes: which requests callers may send, and how they are run.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use sassafrashoist_core::ids::{ModelId, PoolId, RouteId, Tokens};

/// A route.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its id.
    pub id: RouteId,
    /// The path that callers post to.
    pub path: String,
    /// The pool that runs it.
    pub pool_id: PoolId,
    /// What it costs and how it is called.
    pub kind: RouteKind,
    /// Whether its requests may run more than once.
    pub is_idempotent: bool,
    /// The longest that a request may take.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// How long an idempotency key is remembered after its request ended.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_window_ms")]
    pub retry_window: Duration,
    /// The priority of requests that name none, 0 (first) to 9.
    #[serde(default = "default_priority")]
    pub default_priority: u8,
}

/// What a route's requests are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteKind {
    /// Work for a model engine, billed by the tokens it used.
    Model {
        /// The model.
        model_id: ModelId,
        /// The most tokens of a prompt.
        max_prompt_tokens: Tokens,
        /// The most tokens of an answer, where the request names no bound.
        max_output_tokens: Tokens,
    },
    /// A call of a plain service, at a fixed price.
    Service {
        /// The price of one call.
        price_tokens: Tokens,
        /// Whether the service itself runs a request with a known key once only.
        service_deduplicates: bool,
    },
}

fn default_priority() -> u8 {
    5
}
