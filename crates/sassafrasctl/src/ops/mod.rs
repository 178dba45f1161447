//! The operations of the command-line tool.

pub mod commands;
pub mod queries;
