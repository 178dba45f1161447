//! The data of a caller's request while it is served.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use sassafrashoist_adapter::request_headers::{CallerHeaders, PromptPart};
use sassafrashoist_core::gateway::Uptime;
use sassafrashoist_core::gateway::route::{Repeatability, Route};
use sassafrashoist_core::gateway::server_directory::ServerRequirements;
use sassafrashoist_core::gateway::stream_origins::StreamOrigin;
use sassafrashoist_core::ids::{ClientAccountId, PoolId, Tokens};
use sassafrashoist_core::requests::quarantine::RequestFingerprint;
use sassafrashoist_core::requests::request_hash::{PromptPartKey, hash_prompt_part};

use tokio_util::sync::CancellationToken;

use super::caller_presence::CallerPresence;
use super::request_progress::RequestProgress;

/// The most parts of a prompt that are considered as the cause of a crash.
const MAX_SHARED_PARTS: usize = 32;

/// A stream that a request resumes.
#[derive(Debug, Clone)]
pub struct ResumedStream {
    /// Where it began.
    pub origin: StreamOrigin,
    /// When it began.
    pub began_at: Uptime,
}

/// The data of a caller's request while it is served.
#[derive(Debug)]
pub struct RequestContext {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The decoded headers.
    pub caller: CallerHeaders,
    /// The request body.
    pub body: Bytes,
    /// Identifies all copies of the request; known once the body has been read.
    pub fingerprint: Option<RequestFingerprint>,
    /// The route that the request matched.
    pub route: Route,
    /// The pool of backend servers that was chosen.
    pub pool_id: PoolId,
    /// Output tokens per event, if the pool consists of engines.
    pub tokens_per_event: Option<Tokens>,
    /// Where the stream began, if the request resumes one.
    pub resumed: Option<ResumedStream>,
    /// The client account that pays.
    pub account_id: Option<ClientAccountId>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// When the request head arrived.
    pub arrived_at: Uptime,
    /// When the response must be complete.
    pub deadline: Uptime,
    /// Whether its caller is still there; `None` if that cannot be known.
    pub presence: Option<CallerPresence>,
    /// How far the request has come.
    pub progress: Arc<RequestProgress>,
    /// Cancelled when its caller has left, or this VM stops, while a server may begin to run it. Only
    /// for requests that take tokens.
    pub caller_left: CancellationToken,
}

impl RequestContext {
    /// Returns the request id for log lines.
    pub fn id(&self) -> &str {
        self.caller.request_id.as_deref().unwrap_or("-")
    }

    /// Returns the fingerprint for log lines.
    pub fn fingerprint_text(&self) -> String {
        self.fingerprint.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string)
    }

    /// Returns the parts of the prompt that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> Vec<PromptPartKey> {
        let parts = self.caller.prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
        parts.iter().take(MAX_SHARED_PARTS).map(|part| hash_prompt_part(&part.id)).collect()
    }

    /// Returns the shared parts for log lines.
    pub fn shared_parts_text(&self) -> String {
        let parts = self.shared_parts();
        parts.iter().map(|part| format!("{part:016x}")).collect::<Vec<_>>().join(",")
    }

    /// Sets the body, which was read to its end.
    pub fn set_body(&mut self, body: Bytes) {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let account_id = self.account_id.as_deref();
        self.fingerprint =
            Some(RequestFingerprint::of_http(account_id, self.method.as_str(), path, &body));
        self.body = body;
    }

    /// Returns whether the response is a stream that may be resumed.
    pub fn is_resumable(&self) -> bool {
        self.route.repeatability == Repeatability::ResumableStream
    }

    /// Returns whether the caller resumes a stream.
    pub fn is_resumption(&self) -> bool {
        let caller = &self.caller;
        self.is_resumable()
            && (caller.last_event_id.is_some() || caller.resumed_request_id.is_some())
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self, now: Uptime) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns what the request requires of a backend server.
    pub fn server_requirements(&self) -> ServerRequirements {
        let parts = &self.caller.prompt_parts;
        // The last part is specific to this request, the part before it to its session.
        let prefix: &[PromptPart] = parts.split_last().map_or(&[], |(_, prefix)| prefix);
        let prompt_tokens = self.caller.prompt_and_output_tokens.map_or(0, |(prompt, _)| prompt);
        let prefix_tokens: Tokens = prefix.iter().map(|part| part.tokens).sum();
        ServerRequirements {
            pool_id: self.pool_id.clone(),
            prefix_id: prefix.last().map(|part| part.id.clone()),
            prefix_tokens,
            suffix_tokens: prompt_tokens.saturating_sub(prefix_tokens),
            excluded: Vec::new(),
            excludes_limited: false,
            software_version: self.resumed.as_ref().map(|r| r.origin.software_version.clone()),
        }
    }
}
