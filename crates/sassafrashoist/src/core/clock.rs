//! Wall-clock time for decisions that take it as an argument.

use std::time::{SystemTime, UNIX_EPOCH};

use sassafrashoist_core::ids::{Incarnation, Timestamp};

/// Returns the time since the Unix epoch.
pub fn read_clock() -> Timestamp {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns the incarnation of a process that starts now.
pub fn start_incarnation() -> Incarnation {
    read_clock().as_millis() as Incarnation
}
