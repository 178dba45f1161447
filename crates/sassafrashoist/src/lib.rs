//! The router process.
//!
//! - [`core`] defines the state of the process: settings, the tables that its tasks share, and the
//!   context that every operation receives.
//! - [`ops`] implements the operations, one per file. docs/ARCHITECTURE.md follows a request through
//!   them.
//! - [`gateway`] is the router for a platform whose log service stores all durable state.
//! - [`util`] holds general helpers for HTTP, logging and metrics.

pub mod core;
pub mod gateway;
pub mod ops;
pub mod util;
