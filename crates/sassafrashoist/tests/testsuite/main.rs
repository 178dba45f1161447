//! Tests of the router process.

#![allow(clippy::unwrap_used, missing_docs)]

mod account_limits;
mod bad_requests;
mod bundles;
mod config_messages;
mod config_sharing;
mod drain;
mod gateway;
mod late_in_grace;
mod log_client;
mod lost_paths;
mod mixed_builds;
mod odd_entries;
mod old_config;
mod older_peers;
mod open_connections;
mod out_of_step;
mod outcomes;
mod peer_messages;
mod processes;
mod raw_responses;
mod recovery;
mod relay;
mod relay_stream;
mod response_body;
mod response_sink;
mod router_process;
mod routing;
mod settings;
mod shutdown;
mod soak;
mod token_book;
mod truncated_heads;
mod waiting;
