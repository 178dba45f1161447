//! The router process.
//!
//! - [`core`] is what the process is made of: settings, the tables its workers share, the context
//!   that is passed down.
//! - [`ops`] is what it does, a file per action. docs/ARCHITECTURE.md follows a request through
//!   them.
//! - [`gateway`] is the router on a platform whose log service holds all that must last.
//! - [`util`] holds helpers with one job each.

pub mod core;
pub mod gateway;
pub mod ops;
pub mod util;
