//! The steps by which a process that starts with nothing becomes ready.
//!
//! Settings are read before anything else runs, so the first step that can be waited for is the
//! bundle: from the log, from a VM that relays the log, or as a snapshot of any VM. Then comes the
//! ledger, from the log or a VM that relays it.

use serde::Serialize;

/// A step of the start, in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadinessStep {
    /// Waits for a bundle from the platform or another VM.
    #[default]
    WaitsForBundle,
    /// Waits for the ledger from the platform or another VM.
    WaitsForLedger,
    /// Serves.
    Ready,
}

impl ReadinessStep {
    /// Says what the process waits for and where it can come from.
    pub fn describe(self) -> &'static str {
        match self {
            Self::WaitsForBundle => "waits for a bundle from the platform or another VM",
            Self::WaitsForLedger => "waits for the ledger from the platform or another VM",
            Self::Ready => "ready",
        }
    }
}
