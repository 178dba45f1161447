//! The subcommands, a file each.

pub mod check;
pub mod gateway;
pub mod run;
