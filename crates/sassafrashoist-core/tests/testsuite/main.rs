//! Tests of the decision logic.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_queue;
mod budget_owner;
mod crashing_parts;
mod event_splitter;
mod gateway;
mod key_table;
mod ledger;
mod membership;
mod prefix_index;
mod prompt_fleet;
mod quarantine;
mod request_lifecycle;
mod request_rules;
mod result_codes;
mod routing_table;
mod server_limit;
mod shard_model;
mod shard_pair;
mod shard_world;
mod split;
