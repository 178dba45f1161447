//! Tests of the router process.

#![allow(clippy::unwrap_used, missing_docs)]

mod bad_requests;
mod bundles;
mod processes;
mod recovery;
mod relay;
mod relay_stream;
mod settings;
mod waiting;
