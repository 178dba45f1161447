//! Routes: which requests callers may send, and how they are executed.

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
    /// The pool of backend servers that runs its requests.
    pub pool_id: PoolId,
    /// Whether it leads to a model or a plain service, and its cost.
    pub kind: RouteKind,
    /// Whether it is safe to run a request more than once.
    pub is_idempotent: bool,
    /// The longest time that a request may take.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// How long the owner retains the entry of an idempotency key after its request ended.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_window_ms")]
    pub retry_window: Duration,
    /// The priority of requests that name none, from 0 (most urgent) to 9.
    #[serde(default = "default_priority")]
    pub default_priority: u8,
}

/// What runs a route's requests, and how they are billed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteKind {
    /// Inference by a model engine, billed by the tokens used.
    Model {
        /// The model.
        model_id: ModelId,
        /// The maximum number of prompt tokens.
        max_prompt_tokens: Tokens,
        /// The most tokens of an answer, where the request names no bound.
        max_output_tokens: Tokens,
    },
    /// A plain service, at a fixed price per request.
    Service {
        /// The price of one request.
        price_tokens: Tokens,
        /// Whether the service itself runs requests with the same idempotency key only once.
        service_deduplicates: bool,
    },
}

fn default_priority() -> u8 {
    5
}
