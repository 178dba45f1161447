//! The wall clock. Decision functions don't read it; they receive the time as an argument.

use std::time::{SystemTime, UNIX_EPOCH};

use sassafrashoist_core::ids::{Incarnation, Timestamp};

/// Returns the time since the Unix epoch, or zero if the system clock is set before it.
pub fn read_clock() -> Timestamp {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns the incarnation number of a process that starts now: milliseconds since the Unix epoch.
pub fn new_incarnation() -> Incarnation {
    read_clock().as_millis() as Incarnation
}
