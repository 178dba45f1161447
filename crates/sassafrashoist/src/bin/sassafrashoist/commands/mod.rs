//! The subcommands, one per file.

pub mod check;
pub mod gateway;
pub mod run;
