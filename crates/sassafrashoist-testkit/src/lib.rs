//! Stand-ins for the platform and the backend servers, fixtures, and experiments.
//!
//! - [`platform`], [`engine`] and [`service`] are the stand-ins; each starts in-process on a
//!   loopback port and has its faults as settings.
//! - [`tcp_link`] is a connection that can be cut and slowed.
//! - [`fleet`] starts routers in front of them; [`client`] calls them.
//! - [`experiments`] are the measured runs of `cargo run --example experiment`.

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
