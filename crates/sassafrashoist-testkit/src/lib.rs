//! Stand-ins for the platform and the backend servers, test fixtures, and experiments.
//!
//! - [`platform`], [`engine`] and [`service`] are the stand-ins; each starts in-process on a
//!   loopback port and injects the faults that its settings name.
//! - [`tcp_link`] is a TCP proxy that can block and delay traffic.
//! - [`fleet`] starts routers in front of the stand-ins; [`client`] sends requests to the routers.
//! - [`experiments`] holds the measurements of `cargo run --example experiment`.

pub mod child_router;
pub mod client;
pub mod engine;
pub mod experiments;
pub mod fleet;
pub mod http_util;
pub mod platform;
pub mod process_stats;
pub mod quickstart;
pub mod service;
pub mod tcp_link;
