//! The limit that a backend server names in its responses: how many requests per second it takes
//! from all VMs together.
//!
//! Responses on different connections overtake each other. A response was made at some time between
//! the sending of its request and its arrival, so one of two responses is known to be newer only if
//! its request was sent after the other response had arrived. Otherwise, the lower limit counts.

use crate::ids::Timestamp;

/// The largest limit that is told apart from an even larger one.
const MAX_LIMIT_PER_S: f64 = 1_000_000.0;

/// What one response says about the limit of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitStatement {
    /// The response names no limit.
    NotNamed,
    /// The server takes this many requests per second.
    Named(f64),
    /// The response names a limit that is not a decimal number, or is negative or infinite.
    Malformed,
}

impl LimitStatement {
    /// Decodes the value with which a response names a limit, if it does.
    pub fn decode(value: Option<&str>) -> Self {
        let Some(value) = value else {
            return Self::NotNamed;
        };
        let is_decimal = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        match value.parse::<f64>() {
            Ok(limit) if is_decimal && limit.is_finite() => Self::Named(limit.min(MAX_LIMIT_PER_S)),
            _ => Self::Malformed,
        }
    }
}

/// The limit of a backend server, as far as its responses are known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerLimit {
    named_per_s: Option<f64>,
    stated_after: Timestamp,
    stated_before: Timestamp,
}

impl ServerLimit {
    /// Returns the requests per second that the server takes from all VMs together; `None` while it
    /// names no limit.
    pub fn per_s(&self) -> Option<f64> {
        self.named_per_s
    }

    /// Records what a response says whose request was sent at `sent_at` and that arrived at
    /// `received_at`; returns whether the limit has changed.
    pub fn record(
        &mut self,
        statement: LimitStatement,
        sent_at: Timestamp,
        received_at: Timestamp,
    ) -> bool {
        let is_newer = sent_at >= self.stated_before;
        let is_older = received_at < self.stated_after;
        let named_per_s = match (statement, self.named_per_s) {
            (LimitStatement::Malformed, _) => return false,
            (LimitStatement::Named(_), _) if is_older => return false,
            (LimitStatement::Named(new), Some(known)) if !is_newer => Some(new.min(known)),
            (LimitStatement::Named(new), _) => Some(new),
            (LimitStatement::NotNamed, _) if !is_newer => return false,
            (LimitStatement::NotNamed, None) => return false,
            (LimitStatement::NotNamed, Some(_)) => None,
        };
        self.stated_after = self.stated_after.max(sent_at);
        self.stated_before = self.stated_before.max(received_at);
        std::mem::replace(&mut self.named_per_s, named_per_s) != named_per_s
    }
}
