//! The experiments of `cargo run --release --example experiment`.
//!
//! Each experiment is a module with a `run` function, and [`registry`] lists them by name. The
//! other modules hold the loads, checks and reports that experiments share.

pub mod backend_leaving;
pub mod budget_exhaustion;
pub mod budget_load;
pub mod budget_partition;
pub mod bundle_race;
pub mod capacity;
pub mod drain;
pub mod duration_histogram;
pub mod load;
pub mod open_loop_load;
pub mod options;
pub mod overload;
pub mod path;
pub mod platform_outage;
pub mod poison;
pub mod registry;
pub mod report;
pub mod retry_storm;
pub mod retrying_load;
pub mod router_crash;
