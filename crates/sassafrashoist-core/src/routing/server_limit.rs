//! The limit that a backend server names in its responses: how many requests per second it takes
//! from all VMs together.
//!
//! Responses on different connections overtake each other. A response was made at some time between
//! the sending of its request and its arrival, so one of two responses is known to be newer only if
//! its request was sent after the other response had arrived. Otherwise, the lower limit counts.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

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

/// What one VM tells another about the limit of a backend server. Ages are those at the time when
/// the report is sent, because the VMs' clocks differ.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The limit in requests per second; `None` if the server names none.
    pub per_s: Option<f64>,
    /// The time since the request was sent whose response said so.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "sent_ago_ms")]
    pub sent_ago: Duration,
    /// The time since that response arrived.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "received_ago_ms")]
    pub received_ago: Duration,
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
            (LimitStatement::NotNamed, _) => None,
        };
        self.stated_after = self.stated_after.max(sent_at);
        self.stated_before = self.stated_before.max(received_at);
        std::mem::replace(&mut self.named_per_s, named_per_s) != named_per_s
    }
    /// Returns what is known, for another VM.
    pub fn report(&self, now: Timestamp) -> LimitReport {
        LimitReport {
            per_s: self.named_per_s,
            sent_ago: now.saturating_sub(self.stated_after),
            received_ago: now.saturating_sub(self.stated_before),
        }
    }

    /// Records what another VM reports; returns whether the limit has changed. The report may have
    /// been sent up to `max_transit` ago.
    pub fn record_report(
        &mut self,
        report: &LimitReport,
        max_transit: Duration,
        now: Timestamp,
    ) -> bool {
        let statement = match report.per_s {
            None => LimitStatement::NotNamed,
            Some(per_s) if per_s.is_finite() && per_s >= 0.0 => LimitStatement::Named(per_s),
            Some(_) => LimitStatement::Malformed,
        };
        let sent_at = now.saturating_sub(report.sent_ago.saturating_add(max_transit));
        self.record(statement, sent_at, now.saturating_sub(report.received_ago))
    }
}
