//! The measured runs of `cargo run --release --example experiment`.
//!
//! Each experiment is a file with a `run` function; [`registry`] lists them by name.

pub mod load;
pub mod open_load;
pub mod options;
pub mod overload;
pub mod path;
pub mod percentiles;
pub mod registry;
pub mod report;
