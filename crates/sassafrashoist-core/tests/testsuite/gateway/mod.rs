//! Tests of the gateway's decisions.

mod ask_ahead;
mod flow_rate;
mod ledger_writer;
mod reclaim;
mod retry_limiter;
mod route_table;
mod server_directory;
mod token_banks;
mod token_holding;
mod token_queue;
mod token_world;
mod token_world_properties;
mod topic_cursor;
