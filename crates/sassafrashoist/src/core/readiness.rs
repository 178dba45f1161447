//! The steps by which a process that starts without state becomes ready.
//!
//! Settings are read before any task starts, so a process first waits for the bundle, which comes
//! from the log, from a VM that relays the log, or as a snapshot from any VM. Then it waits for the
//! ledger, which comes from the log or from a VM that relays the log.

use serde::Serialize;

/// A readiness step, in order of progress.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadinessStep {
    /// Waiting for a bundle from the platform or another VM.
    #[default]
    WaitsForBundle,
    /// Waiting for the ledger from the platform or another VM.
    WaitsForLedger,
    /// The process was paused for so long that other VMs may have declared it gone. It is waiting
    /// for its next heartbeat round, which gives it a new incarnation.
    Paused,
    /// Serving requests.
    Ready,
}

impl ReadinessStep {
    /// Describes what the process is waiting for and where it can come from.
    pub fn describe(self) -> &'static str {
        match self {
            Self::WaitsForBundle => "waits for a bundle from the platform or another VM",
            Self::WaitsForLedger => "waits for the ledger from the platform or another VM",
            Self::Paused => "was paused, waits for a new incarnation",
            Self::Ready => "ready",
        }
    }
}
