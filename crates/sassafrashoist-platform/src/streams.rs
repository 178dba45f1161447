//! Names of the log streams.

/// Holds the top-ups, transfers, views and snapshots of budgets.
pub const LEDGER_STREAM: &str = "ledger";
/// Holds the proposed bundles.
pub const BUNDLE_STREAM: &str = "bundles";
