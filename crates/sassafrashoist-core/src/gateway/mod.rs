//! Decisions of a VM that keeps nothing and follows a log service for all that is agreed on.
//!
//! - [`fleet_config`] and [`route_table`]: which request is allowed and where it goes.
//! - [`server_directory`]: the backend servers, their load and health, and the choice among them.
//! - [`token_ledger`], [`token_holding`] and [`token_banks`]: who may spend which tokens of a client
//!   account.
//! - [`token_queue`] and [`ask_ahead`]: the requests that wait for tokens, and those to come.
//! - [`ledger_writer`]: the append in progress, whose fate may be unknown.
//! - [`reclaim`]: what a run that died cannot have used.
//! - [`topic_cursor`]: where to read on in a topic of the log.
//! - [`retry_limiter`]: how many requests may be sent a second time.
//!
//! Times are given as the time since the process started.

pub mod ask_ahead;
pub mod clock_reading;
pub mod fleet_config;
pub mod flow_rate;
pub mod holder_record;
pub mod holder_role;
pub mod ledger_writer;
mod mark_times;
mod own_tokens;
pub mod planned_record;
pub mod reclaim;
pub mod retry_limiter;
pub mod route;
pub mod route_table;
pub mod server_directory;
pub mod server_listing;
pub mod server_state;
pub mod spending_mark;
pub mod token_banks;
pub mod token_holding;
pub mod token_ledger;
pub mod token_queue;
pub mod topic_cursor;
pub mod vm_settings;

use std::time::Duration;

/// Time since the process started; suspends of the VM are not counted.
pub type Uptime = Duration;
/// The version of a fleet configuration; versions grow in uneven steps.
pub type ConfigVersion = u64;
/// A caller's secret key.
pub type ApiKey = String;
/// Names one run of one VM's process: no two runs share it.
pub type HolderId = String;
/// The hash that names a part of a prompt.
pub type PromptPartId = String;
