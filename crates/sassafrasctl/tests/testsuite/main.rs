//! Tests of `sassafrasctl`. Most run it as a separate process.

#![allow(clippy::unwrap_used, missing_docs)]

mod budget_commands;
mod bundle_commands;
mod ctl_process;
mod fleet_status;
