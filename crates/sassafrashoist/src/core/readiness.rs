//! The steps by which a process that starts with nothing becomes ready.

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
