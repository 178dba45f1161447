//! Describes the configuration that decided a refusal.

use std::fmt::Write;

use http::header::HOST;
use http::request::Parts;
use http::{HeaderValue, Uri};
use sassafrashoist_core::gateway::ConfigVersion;

use super::gateway_context::GatewayContext;

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

/// Describes the configuration that decided a refusal and how old it may be.
pub fn describe_config(context: &GatewayContext, version: ConfigVersion) -> String {
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

/// Describes the configuration that decided a refusal and the target of the request.
pub fn describe_target(
    context: &GatewayContext,
    version: ConfigVersion,
    target: &RequestTarget,
) -> String {
    let config = describe_config(context, version);
    format!("{config}, host {}, path {}", target.host_text(), target.path_text())
}
