//! What is known of one request of a caller while it is served.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use sassafrashoist_adapter::request_headers::{CallerHeaders, PromptPart};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::route::Route;
use sassafrashoist_core::gateway::server_directory::ServerRequirements;
use sassafrashoist_core::ids::{ClientAccountId, PoolId, Tokens};

/// What is known of one request of a caller while it is served.
#[derive(Debug)]
pub struct RequestLife {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// What they say.
    pub caller: CallerHeaders,
    /// The body.
    pub body: Bytes,
    /// The route.
    pub route: Route,
    /// The pool that was chosen for it.
    pub pool_id: PoolId,
    /// Output tokens in one event, if the pool has engines.
    pub tokens_per_event: Option<Tokens>,
    /// The client account that pays.
    pub account_id: Option<ClientAccountId>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// When its head came.
    pub arrived_at: Uptime,
    /// When it gets its final answer at the latest.
    pub deadline: Uptime,
}

impl RequestLife {
    /// Returns its id for log lines.
    pub fn id(&self) -> &str {
        self.caller.request_id.as_deref().unwrap_or("-")
    }

    /// Returns the time that is left.
    pub fn time_left(&self, now: Uptime) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns what it needs of a server.
    pub fn server_need(&self) -> ServerRequirements {
        let parts = &self.caller.prompt_parts;
        // The last part belongs to the request alone, the one before it to its session.
        let shared: &[PromptPart] = parts.split_last().map_or(&[], |(_, shared)| shared);
        let prompt_tokens = self.caller.prompt_and_output_tokens.map_or(0, |(prompt, _)| prompt);
        let shared_tokens: Tokens = shared.iter().map(|part| part.tokens).sum();
        ServerRequirements {
            pool_id: self.pool_id.clone(),
            prefix_id: shared.last().map(|part| part.id.clone()),
            prefix_tokens: shared_tokens,
            suffix_tokens: prompt_tokens.saturating_sub(shared_tokens),
            excluded: Vec::new(),
        }
    }
}
