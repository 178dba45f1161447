//! Helpers with one job each.

pub mod shell;
