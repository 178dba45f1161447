//! Helpers that do not depend on the rest of the crate.

pub mod shell;
