//! Tests of the router process.

#![allow(clippy::unwrap_used, missing_docs)]

mod account_limits;
mod bad_requests;
mod bundles;
mod config_messages;
mod config_sharing;
mod gateway;
mod lost_paths;
mod outcomes;
mod processes;
mod recovery;
mod relay;
mod relay_stream;
mod response_body;
mod response_sink;
mod router_process;
mod routing;
mod settings;
mod soak;
mod token_book;
mod waiting;
