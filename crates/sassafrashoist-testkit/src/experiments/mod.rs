//! The measured runs of `cargo run --release --example experiment`.
//!
//! Each experiment is a file with a `run` function; [`registry`] lists them by name.

pub mod capacity;
pub mod drain;
pub mod load;
pub mod options;
pub mod outcome_load;
pub mod path;
pub mod percentiles;
pub mod poison;
pub mod registry;
pub mod report;
pub mod retry_storm;
pub mod router_crash;
