//! The actions of the operator's command.

pub mod commands;
pub mod queries;
