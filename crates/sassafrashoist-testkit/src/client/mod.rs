//! Callers of a fleet.

pub mod caller;
pub mod retrying_caller;
