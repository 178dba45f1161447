//! The subcommands, one per file.

pub mod budget;
pub mod bundle;
pub mod explain;
pub mod fleet;
pub mod vm;
