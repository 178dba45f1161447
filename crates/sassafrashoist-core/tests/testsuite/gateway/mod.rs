//! Tests of the gateway's decisions.

mod allocator_vms;
mod flow_rate;
mod ledger_writer;
mod reclaim;
mod retry_limiter;
mod route_table;
mod server_directory;
mod simulated_fleet;
mod simulated_fleet_properties;
mod token_holding;
mod token_ledger;
mod token_prefetch;
mod token_queue;
mod topic_cursor;
