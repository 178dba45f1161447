//! HTTP clients that send requests to a fleet.

pub mod caller;
pub mod retrying_caller;
