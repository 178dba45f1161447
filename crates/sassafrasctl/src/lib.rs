//! The operator's command: bundles, budgets, state and explanations.
//!
//! - [`core`] holds the operator's settings and the context that is passed down.
//! - [`ops`] holds the actions: `commands` change something, `queries` only read.
//! - [`util`] holds the shell that writes to people or to programs.

pub mod core;
pub mod ops;
pub mod util;
