//! Refuses requests that the active configuration does not allow.
//!
//! A VM whose configuration may be old does not know what the newest one allows. It refuses such a
//! request for now, so that the caller retries it, at another VM. A request that the active
//! configuration allows is served all the same for as long as a change may take to come into force.
//! After that its key may have been revoked, or its route removed or moved, and all requests are
//! refused for now; but not by a VM that is cut off, as refusing everything in doubt would turn an
//! outage of the log service into one of the fleet.

use std::fmt::{self, Display, Write};
use std::time::Duration;

use http::header::HOST;
use http::request::Parts;
use http::{HeaderValue, Response, Uri};
use sassafrashoist_core::gateway::ConfigVersion;

use super::gateway_context::GatewayContext;
use super::response_body::ResponseBody;
use super::serve_request::Refusal;

/// The retry delay while the configuration may be old. A retry reaches another VM, which may have
/// the newest one; a bid has 600 ms for all of its attempts.
const DOUBT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The longest host or path in a log line.
const MAX_TEXT_CHARS: usize = 80;

/// The host and path of a request, for log lines.
#[derive(Debug)]
pub struct RequestTarget {
    uri: Uri,
    host: Option<HeaderValue>,
}

impl RequestTarget {
    /// Returns the target of a request.
    pub fn of(parts: &Parts) -> Self {
        Self { uri: parts.uri.clone(), host: parts.headers.get(HOST).cloned() }
    }

    /// Returns the host, cut to a length for log lines.
    fn host_text(&self) -> String {
        let header = self.host.as_ref().map(|host| String::from_utf8_lossy(host.as_bytes()));
        let host = self.uri.host().or(header.as_deref()).unwrap_or("-");
        host.chars().take(MAX_TEXT_CHARS).collect()
    }

    /// Returns the path without the query, cut to a length for log lines.
    fn path_text(&self) -> String {
        self.uri.path().chars().take(MAX_TEXT_CHARS).collect()
    }
}

impl Display for RequestTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "host {}, path {}", self.host_text(), self.path_text())
    }
}

/// Describes the configuration that decided a refusal and how old it may be.
fn describe_config(context: &GatewayContext, version: ConfigVersion) -> String {
    let now = context.now();
    let age = context.lock_config_age();
    let mut text = match age.unconfirmed_time(now) {
        Some(time) => format!("configuration {version}, newest {} ms ago", time.as_millis()),
        None => format!("configuration {version}, never known to be the newest"),
    };
    if let Some(newer) = age.newer_version() {
        // Writing to a string does not fail.
        let _ = write!(text, ", another VM has {newer}");
    }
    text
}

/// Refuses a request for now if the active configuration is too old to serve by.
pub fn refuse_by_age(
    context: &GatewayContext,
    version: ConfigVersion,
    id: &str,
    target: &RequestTarget,
) -> Option<Response<ResponseBody>> {
    if !context.is_config_too_old() {
        return None;
    }
    let detail = format!("{}, {target}", describe_config(context, version));
    let refusal = Refusal::retry_later(DOUBT_RETRY_AFTER, "configuration is too old");
    Some(refusal.into_response(id, &detail))
}

/// Responds to a request that is refused. If the configuration decided that and may be old, the
/// request is refused for now.
pub fn refuse_by_config(
    context: &GatewayContext,
    version: ConfigVersion,
    refusal: Refusal,
    id: &str,
    subject: &dyn Display,
) -> Response<ResponseBody> {
    let detail = format!("{}, {subject}", describe_config(context, version));
    // A newer version may have become active while the request was read.
    let is_replaced = context.routes().is_some_and(|routes| routes.config().version != version);
    let is_doubtful = is_replaced || context.lock_config_age().is_doubtful(context.now());
    if !(refusal.is_by_config && is_doubtful) {
        return refusal.into_response(id, &detail);
    }
    let reason = refusal.reason;
    Refusal::retry_later(DOUBT_RETRY_AFTER, "configuration may be old")
        .into_response(id, &format_args!("{reason}: {detail}"))
}
