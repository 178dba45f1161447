//! The subcommands, a file each.

pub mod budget;
pub mod bundle;
pub mod explain;
pub mod fleet;
pub mod vm;
