//! The operators' command-line tool, which manages bundles and budgets and shows the state of the
//! fleet.
//!
//! - [`core`] holds the operator's settings, the context of a command and the VM state that it
//!   reads.
//! - [`ops`] holds the operations: `commands` change something, `queries` only read.
//! - [`util`] holds the shell, which writes output as text or JSON.

pub mod core;
pub mod ops;
pub mod util;
