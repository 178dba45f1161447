//! Decisions of a VM that stores no state of its own and gets all agreed state from a log service.
//!
//! - [`fleet_config`] and [`route_table`]: which requests are allowed and where they are routed.
//! - [`config_age`]: whether the configuration that decides this may be old.
//! - [`server_directory`]: the backend servers, their load and health, and the choice among them by
//!   cost, rendezvous hashing and circuit breakers.
//! - [`placement_cost`], [`server_speed`], [`response_overhead`],
//!   [`prompt_backlog`] and [`recent_prompts`]: the cost of a
//!   server that reports how slow it is, for long and short prompts.
//! - [`server_silence`]: whether a server that sends nothing has failed.
//! - [`server_paths`] and [`relay_vms`]: which of these servers this VM reaches, and through which
//!   other VM it reaches the rest; [`attempt_failure`]: what a failed attempt shows about its server.
//! - [`token_ledger`], [`token_holding`] and [`allocator_vms`]: which VM may use which tokens of a
//!   client account; [`hand_over`]: which VMs take in tokens that another one does not need.
//! - [`spending_limit`]: the write-ahead bound on the tokens that a holder spends.
//! - [`token_queue`] and [`token_prefetch`]: the requests that wait for tokens, and tokens
//!   requested ahead of demand.
//! - [`ledger_writer`]: the append in progress, whose outcome may be unknown.
//! - [`reclaim`]: the tokens that a previous incarnation whose process died cannot have used.
//! - [`topic_cursor`]: the offset from which to read a topic of the log; [`read_patience`] and
//!   [`read_precedence`]: how long a read waits, and which topic is read first after an outage;
//!   [`odd_entries`]: which of its entries that cannot be decoded are logged.
//! - [`config_readers`] and [`config_sharing`]: which VMs read the configuration from the log, and
//!   from whom the others get it, as a [`document_delta`].
//! - [`permit_issuers`] and [`permit_bucket`]: which VM admits requests to a server that names a
//!   limit, and how many.
//! - [`drain_plan`] and [`connection_phase`]: the times of a graceful shutdown, and what is owed to
//!   callers meanwhile; [`connection_timeouts`]: how long a connection waits for a request.
//! - [`caller_check`] and [`caller_departure`]: whether a caller is still there, and whether a server may
//!   have run its request after it left.
//! - [`stream_origins`], [`route_history`], [`pool_versions`] and [`incarnation_check`]: the pool and
//!   the software version at which a stream may go on, and whether a server still has it;
//!   [`origin_outbox`], [`origin_batch`] and [`stored_origins`]: the origins of streams that the log
//!   keeps, written and read; [`origin_history`] and [`topic_history`]: what else the log proves of them
//!   after all VMs were killed; [`origin_wait`]: how long a request waits for that.
//! - [`event_sequence`]: which events of a server go on with a stream of another.
//! - [`framing_allowance`] and [`event_allowance`]: how much of what a server or caller sends may be no
//!   data, and how much of a stream no new event.
//! - [`crash_book`]: the requests that may crash backend servers; [`crash_trials`] and
//!   [`recent_answers`]: which copy of one runs, and which requests are known not to. The rule itself
//!   is [`quarantine`](crate::requests::quarantine), as on the router's own path.
//! - [`live_vms`]: the VMs that all others select in the same way for a task.
//! - [`request_limit`] and [`memory_budget`]: how many requests a VM holds, and how much their bodies
//!   and events may hold.
//! - [`open_connection_limit`]: how many connections callers may keep open.
//! - [`link_budget`] and [`link_delay`]: which requests a VM admits so that its link is not saturated.
//! - [`line_limit`]: which of many alike events are logged.
//! - [`retry_limiter`]: how many requests may be sent a second time, in a sliding window.
//!
//! Times are given as [`Uptime`], except for a [`clock_reading::ClockReading`], which the next
//! incarnation compares with its own clocks.

mod account_holding;
mod account_totals;
pub mod allocator_vms;
pub mod append_pacing;
pub mod attempt_failure;
pub mod brittle_users;
pub mod caller_check;
pub mod caller_departure;
pub mod clock_reading;
pub mod config_age;
pub mod config_announcement;
pub mod config_contact;
pub mod config_readers;
pub mod config_sharing;
pub mod config_times;
pub mod connection_phase;
pub mod connection_timeouts;
pub mod crash_book;
pub mod crash_outbox;
pub mod crash_report;
pub mod crash_trials;
pub mod crowding;
pub mod document_delta;
pub mod drain_plan;
pub mod evacuations;
pub mod event_allowance;
pub mod event_sequence;
pub mod fleet_config;
pub mod flow_rate;
pub mod framing_allowance;
pub mod hand_over;
pub mod holder_record;
pub mod holder_role;
pub mod inbox_watch;
pub mod incarnation_check;
pub mod ledger_writer;
mod limit_periods;
pub mod line_limit;
pub mod link_budget;
pub mod link_delay;
pub mod live_vms;
pub mod memory_budget;
pub mod odd_entries;
pub mod open_connection_limit;
pub mod origin_batch;
pub mod origin_history;
pub mod origin_outbox;
pub mod origin_wait;
pub mod permit_bucket;
pub mod permit_issuers;
pub mod placement_cost;
pub mod planned_record;
pub mod pool_versions;
pub mod prompt_backlog;
pub mod read_patience;
pub mod read_precedence;
pub mod recent_answers;
pub mod recent_prompts;
mod recent_transfers;
pub mod reclaim;
pub mod reclaim_refusal;
pub mod relay_vms;
pub mod request_limit;
pub mod response_overhead;
pub mod retry_limiter;
pub mod route;
pub mod route_history;
pub mod route_table;
pub mod server_directory;
pub mod server_listing;
pub mod server_paths;
pub mod server_silence;
pub mod server_speed;
pub mod server_state;
pub mod spending_limit;
pub mod stall_watch;
pub mod stored_origins;
pub mod stream_origins;
pub mod token_holding;
pub mod token_ledger;
pub mod token_prefetch;
pub mod token_queue;
pub mod topic_cursor;
pub mod topic_history;
pub mod vm_settings;
pub mod warm_up;

use std::time::Duration;

/// Time since the process started; suspends of the VM are not counted.
pub type Uptime = Duration;
/// The version of a fleet configuration. Versions increase, but not always by 1.
pub type ConfigVersion = u64;
/// The version of the software of a backend server; versions have no order.
pub type SoftwareVersion = String;
/// A caller's secret key.
pub type ApiKey = String;
/// Identifies one incarnation of one VM's process; no two incarnations share an id.
pub type HolderId = String;
/// The hash that identifies a part of a prompt.
pub type PromptPartId = String;
